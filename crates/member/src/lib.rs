//! Membership as seen by one entry: the host list, which may lag, combined with the entry's own observations. The crate
//! does no I/O and reads no clock.
//!
//! Suspicion stays local. No output of the core tells another process that an upstream is suspect, so one entry with a
//! faulty network cannot take an upstream out of service for the others.

mod agent;
mod core;
mod groups;
mod membership;
mod readers;
mod subset;

pub use crate::{
    agent::{AgentHealth, AgentView},
    core::{MemberAction, MemberCore, MemberEvent, MemberOptions, MemberReport, ProbeResponse},
    groups::{AgentGroup, agent_groups},
    membership::{CallerLocation, EntryMember, EntryMembership},
    subset::choose_subset,
};
