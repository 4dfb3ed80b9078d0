//! Faults of the simulated fleet.

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
    pub(super) fn prepare(&mut self) {
        let bound = self.options.bound();
        self.set_target(0, None);
        let Some(fault) = self.options.fault else { return };
        let span = bound.mul_f64(fault.span());
        if fault == FaultKind::OriginDown {
            (0..3.min(self.hosts.len())).for_each(|host| self.fill(host));
        }
        if matches!(fault, FaultKind::Corrupt | FaultKind::Truncate) {
            self.origin_faults = 3;
        }
        for round in 0..self.options.fault_times.min(2) {
            let at = bound.mul_f64(fault.times()[round]);
            let host = self.rng.random_range(0..self.hosts.len());
            let mut add = |at, fault| self.push(at, host, Message::Fault(fault));
            match fault {
                FaultKind::Stall => add(at, SimFault::Stall(span)),
                FaultKind::PeerDies => add(at, SimFault::Die),
                FaultKind::Restart => add(at, SimFault::Restart),
                FaultKind::Pause => add(at, SimFault::Pause(span)),
                FaultKind::Partition => {
                    add(at, SimFault::CutOff(true));
                    add(at + span, SimFault::CutOff(false));
                }
                FaultKind::VersionChange => add(at, SimFault::Want(round + 1)),
                FaultKind::Rollback => {
                    add(at, SimFault::Want(1));
                    add(at + span.mul_f64(0.5), SimFault::Want(0));
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

    pub(super) fn apply(&mut self, host: usize, fault: SimFault) {
        match fault {
            SimFault::Stall(span) => {
                let state = &mut self.hosts[host];
                state.up_free = state.up_free.max(self.now) + span;
                state.down_free = state.down_free.max(self.now) + span;
            }
            SimFault::Die => self.hosts[host].alive = false,
            SimFault::Restart => {
                let seed = self.rng.random();
                let (up_free, down_free) = (self.hosts[host].up_free, self.hosts[host].down_free);
                let uploaded = self.hosts[host].uploaded;
                let fresh = SimHost::new(&self.options, &self.records[host], seed);
                self.hosts[host] = SimHost { up_free, down_free, uploaded, ..fresh };
                self.set_wants(host, None);
            }
            SimFault::Pause(span) => self.hosts[host].paused_until = self.now + span,
            SimFault::CutOff(cut) => {
                self.cut_off = cut.then(|| self.records[host].region.to_string());
            }
            SimFault::Want(version) => self.set_target(version, Some(self.target)),
        }
    }

    pub(super) fn is_victim(&self, host: usize, fault: FaultKind) -> bool {
        self.options.fault == Some(fault) && host < self.options.fault_times
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        self.cut_off.as_ref().is_some_and(|region| (from == region) != (to == region))
    }

    pub(super) fn damaged(&self, data: &Bytes) -> Bytes {
        let mut bytes = data.to_vec();
        if self.options.fault == Some(FaultKind::Truncate) {
            bytes.truncate(bytes.len() / 2);
        } else if let Some(byte) = bytes.last_mut() {
            *byte ^= 1;
        }
        bytes.into()
    }
}
