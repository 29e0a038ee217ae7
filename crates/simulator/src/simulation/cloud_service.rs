//! The cloud's answers to requests: provisioning, release and the list of instances; and
//! probes of the links to services.

use lemonweir_coordination::{ProvisioningResult, ShardLease};
use lemonweir_model::MachineId;
use lemonweir_model::constants::{
    CLOUD_TROUBLE_MS, INSTANCE_LIST_INTERVAL_MS, MAX_INSTANCES_PER_REQUEST,
};
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::links::Service;
use rand::RngExt;

use super::events::Event;
use super::routes::ServiceRoute;
use super::{Simulation, machine_number};
use crate::clock::{US_PER_MS, micros};
use crate::controller::{Input, ProcessId};

/// Boot time of a machine that never boots, µs: longer than any run.
const NEVER_UP_US: u64 = 1 << 50;
/// Shortest boot time as a share of the machine type's, and by how much the longest exceeds
/// it.
const MIN_BOOT_SHARE: f64 = 0.6;
const BOOT_SHARE_RANGE: f64 = 0.9;
/// Minimum interval between two lists, ms per page of a list.
const MIN_LIST_INTERVAL_PER_PAGE_MS: u64 = 4;

impl Simulation {
    pub(super) fn provision(
        &mut self,
        process: ProcessId,
        lease: ShardLease,
        request: ProvisioningRequest,
        route: ServiceRoute,
    ) {
        let result = if self.try_route(process, route) {
            self.repeat_provisioning(&request);
            self.provision_once(&request)
        } else {
            ProvisioningResult::Retry
        };
        let at = self.now + self.network_delay();
        self.deliver_at(at, process, Input::Provisioned(lease, request, result));
    }

    /// Provisions machines for a request; one that succeeded before gets the same answer.
    pub(super) fn provision_once(&mut self, request: &ProvisioningRequest) -> ProvisioningResult {
        match self.cloud.bookings.get(&request.request_id) {
            Some(booked) => ProvisioningResult::Provisioned(booked.clone()),
            None => self.provision_new(request),
        }
    }

    /// Provisions machines for a request ID that the cloud has not seen before.
    fn provision_new(&mut self, request: &ProvisioningRequest) -> ProvisioningResult {
        let kind = self
            .scenario
            .machine_kinds
            .iter()
            .position(|kind| kind.machine.name == request.machine_type);
        let Some(kind) = kind else {
            return ProvisioningResult::NoCapacity;
        };
        let available = self
            .cloud
            .available(kind, &request.zone, request.spot, &self.scenario);
        let count = request.count.min(available).min(MAX_INSTANCES_PER_REQUEST);
        let names: Vec<MachineId> = (0..count)
            .map(|_| {
                let up_at = self.draw_up_at(kind, &request.zone);
                self.add_machine(kind, &request.zone, request.spot, self.now, up_at)
            })
            .collect();
        if names.is_empty() {
            return ProvisioningResult::NoCapacity;
        }
        self.workload
            .history
            .record(self.now, "rented", &request.request_id, &names.len());
        self.cloud
            .bookings
            .insert(request.request_id.clone(), names.clone());
        ProvisioningResult::Provisioned(names)
    }

    /// Draws when a machine that is provisioned now is up, µs.
    fn draw_up_at(&mut self, kind: usize, zone: &str) -> u64 {
        let boot_s = self.scenario.machine_kinds[kind].machine.boot_s
            * (MIN_BOOT_SHARE + BOOT_SHARE_RANGE * self.rng.random::<f64>());
        let disturbance = self
            .boot_disturbance
            .as_ref()
            .filter(|disturbance| disturbance.zone.as_ref().is_none_or(|z| z == zone));
        let Some(disturbance) = disturbance else {
            return self.now + micros(boot_s);
        };
        if self.rng.random::<f64>() < disturbance.failure_chance {
            self.now + NEVER_UP_US
        } else {
            self.now + micros(boot_s * disturbance.factor)
        }
    }

    pub(super) fn release_machines(
        &mut self,
        process: ProcessId,
        lease: ShardLease,
        names: Vec<MachineId>,
        route: ServiceRoute,
    ) {
        if !self.try_route(process, route) {
            let route = self.route(process.controller, Service::Cloud, 0);
            return self.schedule_in(
                CLOUD_TROUBLE_MS * US_PER_MS,
                Event::Release(process, lease, names, route),
            );
        }
        for name in &names {
            self.remove_machine(machine_number(name));
        }
        let at = self.now + self.network_delay();
        self.deliver_at(at, process, Input::Released(lease, names));
    }

    pub(super) fn schedule_instance_list(&mut self, process: ProcessId) {
        if !self.is_current(process) {
            return;
        }
        let wait_us = self.controllers[process.controller]
            .cloud
            .reserve(1.0, self.now);
        let route = self.route(process.controller, Service::Cloud, 0);
        self.schedule_in(wait_us, Event::ListInstances(process, route));
        let interval_ms = INSTANCE_LIST_INTERVAL_MS
            .max(self.cloud.list_pages() as u64 * MIN_LIST_INTERVAL_PER_PAGE_MS);
        self.schedule_in(
            interval_ms * US_PER_MS,
            Event::ScheduleInstanceList(process),
        );
    }

    pub(super) fn list_instances(&mut self, process: ProcessId, route: ServiceRoute) {
        if !self.try_route(process, route) {
            return;
        }
        let lag_us = micros(self.scenario.cloud.list_staleness_s);
        let entries = self
            .cloud
            .list(self.now.saturating_sub(lag_us), &self.scenario);
        let at = self.now + self.network_delay();
        self.deliver_at(at, process, Input::InstancesListed(entries));
    }

    pub(super) fn probe(&mut self, process: ProcessId, service: Service) {
        self.try_route(process, ServiceRoute::direct(service));
    }
}
