//! Membership as one entry sees it: the lagging host list combined with its own evidence, without sockets and clock.
//!
//! Suspicion is local. The core has no output that another process could take for a fact about an upstream.

mod agent;
mod core;
mod groups;
mod roster;
mod subset;

pub use crate::{
    agent::{AgentHealth, AgentView},
    core::{MemberAction, MemberCore, MemberEvent, MemberOptions, MemberReport, ProbeAnswer},
    groups::{AgentGroup, agent_groups},
    roster::{CallerPlace, EntryMember, EntryRoster},
    subset::choose_subset,
};
