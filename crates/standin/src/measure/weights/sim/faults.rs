//! Fault injection in the simulated fleet.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use weights::FetchFault;

use super::{
    FleetSim, SimHost,
    message::{Message, SimFault},
};
use crate::measure::weights::FaultKind;

impl FleetSim {
    /// Starts the transfer of the first version and schedules the faults.
    pub(super) fn start_transfer(&mut self) {
        let min_duration = self.options.min_duration();
        self.set_target(0, None);
        let Some(fault) = self.options.fault else { return };
        let duration = min_duration.mul_f64(fault.duration());
        if fault == FaultKind::OriginDown {
            (0..3.min(self.hosts.len())).for_each(|host| self.preload(host));
        }
        if matches!(fault, FaultKind::Corrupt | FaultKind::Truncate) {
            self.origin_faults = 3;
        }
        for round in 0..self.options.fault_times.min(2) {
            let at = min_duration.mul_f64(fault.injection_times()[round]);
            let host = self.rng.random_range(0..self.hosts.len());
            let mut add = |at, fault| self.push(at, host, Message::Fault(fault));
            match fault {
                FaultKind::Stall => add(at, SimFault::Stall(duration)),
                FaultKind::PeerDies => add(at, SimFault::Kill),
                FaultKind::Restart => add(at, SimFault::Restart),
                FaultKind::Pause => add(at, SimFault::Pause(duration)),
                FaultKind::Partition => {
                    add(at, SimFault::PartitionRegion(true));
                    add(at + duration, SimFault::PartitionRegion(false));
                }
                FaultKind::VersionChange => add(at, SimFault::SetTarget(round + 1)),
                FaultKind::Rollback => {
                    add(at, SimFault::SetTarget(1));
                    add(at + duration.mul_f64(0.5), SimFault::SetTarget(0));
                }
                _ => {}
            }
        }
    }

    pub(super) fn origin_fault(&self, origin: usize) -> Option<FetchFault> {
        match self.options.fault {
            Some(FaultKind::OriginDown) => Some(FetchFault::Unreachable),
            Some(FaultKind::StoreRefuses) if origin == 0 => {
                Some(FetchFault::RetryAfter(Duration::from_secs(1)))
            }
            _ => None,
        }
    }

    pub(super) fn inject(&mut self, host: usize, fault: SimFault) {
        match fault {
            SimFault::Stall(duration) => {
                let state = &mut self.hosts[host];
                state.uplink_free_at = state.uplink_free_at.max(self.now) + duration;
                state.downlink_free_at = state.downlink_free_at.max(self.now) + duration;
            }
            SimFault::Kill => self.hosts[host].alive = false,
            SimFault::Restart => {
                let seed = self.rng.random();
                let (uplink_free_at, downlink_free_at) =
                    (self.hosts[host].uplink_free_at, self.hosts[host].downlink_free_at);
                let uploaded = self.hosts[host].uploaded;
                let fresh = SimHost::new(&self.options, &self.records[host], seed);
                self.hosts[host] = SimHost { uplink_free_at, downlink_free_at, uploaded, ..fresh };
                self.set_wanted(host, None);
            }
            SimFault::Pause(duration) => self.hosts[host].paused_until = self.now + duration,
            SimFault::PartitionRegion(partitioned) => {
                self.partitioned_region =
                    partitioned.then(|| self.records[host].region.to_string());
            }
            SimFault::SetTarget(version) => self.set_target(version, Some(self.target)),
        }
    }

    /// True if `fault` is injected into this host for the whole run: the first `fault_times` hosts are affected.
    pub(super) fn has_fault(&self, host: usize, fault: FaultKind) -> bool {
        self.options.fault == Some(fault) && host < self.options.fault_times
    }

    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        self.partitioned_region.as_ref().is_some_and(|region| (from == region) != (to == region))
    }

    pub(super) fn damage(&self, data: &Bytes) -> Bytes {
        let mut bytes = data.to_vec();
        if self.options.fault == Some(FaultKind::Truncate) {
            bytes.truncate(bytes.len() / 2);
        } else if let Some(byte) = bytes.last_mut() {
            *byte ^= 1;
        }
        bytes.into()
    }
}
