//! Provisioning requests to the cloud and their results, and results of instance releases and
//! listings.

use std::collections::BTreeMap;

use tracing::info;

use crate::autoscaler::{
    BootingInstance, CapacityBin, FailingPools, InstancePool, Market, ProvisioningOptions,
    ScaleOut, plan_scale_out,
};
use crate::placer::PendingInstance;
use crate::shard::{PendingProvisioning, Shard};
use crate::{Core, Effect, ProvisioningResult, ShardLease};
use lemonweir_model::constants::CLOUD_TROUBLE_MS;
use lemonweir_model::{Catalog, MachineId};
use lemonweir_protocol::cloud::{InstanceEntry, ProvisioningRequest};
use lemonweir_protocol::peer::ProvisionedInstance;

/// Concurrent provisioning requests of one shard. Answers take a few tenths of a second, and a
/// fleet of hundreds of instances is built up in requests of at most 50.
const PROVISIONING_IN_FLIGHT_MAX: usize = 4;

impl Core {
    /// Handles the result of a provisioning request.
    pub fn provisioning_completed(
        &mut self,
        lease: ShardLease,
        request: &ProvisioningRequest,
        result: ProvisioningResult,
        now: u64,
    ) {
        let instances: Vec<PendingInstance> = match &result {
            ProvisioningResult::Provisioned(machines) => machines
                .iter()
                .map(|id| self.pending_instance(request, id, now))
                .collect(),
            ProvisioningResult::NoCapacity | ProvisioningResult::Retry => Vec::new(),
        };
        let Some(shard) = self.shard_under(lease) else {
            return;
        };
        shard.end_request(request, &result);
        match result {
            ProvisioningResult::Provisioned(machines) => {
                info!(
                    shard = lease.shard,
                    count = machines.len(),
                    requested = request.count,
                    instance_type = request.machine_type,
                    zone = request.zone,
                    spot = request.spot,
                    "instances provisioned"
                );
                if (machines.len() as u32) < request.count {
                    shard.shortages.record(request, now);
                }
                for instance in instances {
                    shard.peer_channels[usize::from(instance.shard)].dirty = true;
                    shard.placer.pending_instances.push(instance);
                }
            }
            ProvisioningResult::NoCapacity => {
                info!(
                    shard = lease.shard,
                    instance_type = request.machine_type,
                    zone = request.zone,
                    spot = request.spot,
                    "no capacity for instances"
                );
                shard.shortages.record(request, now);
            }
            ProvisioningResult::Retry => shard.provisioning_not_before = now + CLOUD_TROUBLE_MS,
        }
    }

    fn pending_instance(
        &self,
        request: &ProvisioningRequest,
        id: &MachineId,
        now: u64,
    ) -> PendingInstance {
        PendingInstance {
            shard: self.config.shard_of(&request.zone, id),
            provisioned_at: now,
            instance: ProvisionedInstance {
                machine: id.clone(),
                machine_type: request.machine_type.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                age_ms: 0,
            },
        }
    }

    /// Handles the result of a request to release instances; `done`: the cloud has executed it.
    pub fn instances_released(
        &mut self,
        lease: ShardLease,
        machines: &[MachineId],
        done: bool,
        now: u64,
    ) {
        if let Some(shard) = self.shard_under(lease) {
            shard.owner.handle_release_result(machines, done, now);
        }
    }

    /// Handles a list of instances read from the cloud, split by shard.
    pub fn instances_listed(&mut self, entries: &[InstanceEntry], now: u64) {
        let mut by_shard: BTreeMap<u16, Vec<InstanceEntry>> = BTreeMap::new();
        for entry in entries {
            by_shard
                .entry(self.config.shard_of(&entry.zone, &entry.id))
                .or_default()
                .push(entry.clone());
        }
        for (index, shard) in &mut self.shards {
            shard
                .owner
                .apply_inventory(by_shard.get(index).map_or(&[], Vec::as_slice), now);
        }
    }

    /// Requests the instances that one shard's placer lacks, at most one plan per placement pass.
    pub(crate) fn flush_provisioning(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        if self.lease_unconfirmed() {
            return;
        }
        let Some(catalog) = &self.catalog else { return };
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        if now < shard.provisioning_not_before {
            return;
        }
        if shard.planned_pass < shard.placer.placement_passes
            && shard.provisioning.len() < PROVISIONING_IN_FLIGHT_MAX
        {
            shard.planned_pass = shard.placer.placement_passes;
            shard.plan_provisioning(catalog, now);
        }
        let lease = shard.lease;
        for pending in shard.provisioning.iter_mut().filter(|p| !p.in_flight) {
            pending.in_flight = true;
            effects.push(Effect::Provision(lease, pending.request.clone()));
        }
    }
}

impl Shard {
    /// Removes a request that has its final answer, or marks it to be sent again.
    fn end_request(&mut self, request: &ProvisioningRequest, result: &ProvisioningResult) {
        let Some(at) = self
            .provisioning
            .iter()
            .position(|pending| pending.request.request_id == request.request_id)
        else {
            return;
        };
        match result {
            ProvisioningResult::Retry => self.provisioning[at].in_flight = false,
            ProvisioningResult::Provisioned(_) | ProvisioningResult::NoCapacity => {
                self.provisioning.remove(at);
            }
        }
    }

    /// Adds requests for the placer's unmet demand, at most one at a time per pool.
    fn plan_provisioning(&mut self, catalog: &Catalog, now: u64) {
        for ScaleOut { pool, count } in self.scale_out_plan(catalog, now) {
            if self.provisioning.len() >= PROVISIONING_IN_FLIGHT_MAX
                || self
                    .provisioning
                    .iter()
                    .any(|pending| InstancePool::from(&pending.request) == pool)
            {
                continue;
            }
            self.provisioning_requests_issued += 1;
            // A fencing token is never reused, so the request ID is unique.
            let unique_id = format!(
                "r-{}-{}-{}",
                self.lease.shard, self.lease.token, self.provisioning_requests_issued
            );
            self.provisioning.push(PendingProvisioning {
                request: ProvisioningRequest {
                    request_id: unique_id,
                    machine_type: pool.machine_type,
                    zone: pool.zone,
                    spot: pool.market.is_spot(),
                    count,
                },
                in_flight: false,
            });
        }
    }

    /// Plans instances for the placer's unmet demand, beyond those booting or requested.
    fn scale_out_plan(&self, catalog: &Catalog, now: u64) -> Vec<ScaleOut> {
        if self.placer.unmet_demand.is_empty() {
            return Vec::new();
        }
        // New instances in a partitioned zone could not be reached. Instances already there
        // count for tasks that may run nowhere else.
        let partitioned = self.placer.partitioned_zones();
        let mut machines_by_zone: BTreeMap<String, usize> = BTreeMap::new();
        for machine in self.placer.machines() {
            match machines_by_zone.get_mut(&machine.zone) {
                Some(count) => *count += 1,
                None => drop(machines_by_zone.insert(machine.zone.clone(), 1)),
            }
        }
        // An instance past its provisioning timeout is still booting, but not schedulable.
        let booting = self
            .placer
            .machines()
            .filter(|m| !m.registered && m.task_count == 0);
        let failing = FailingPools::new(booting.map(|m| BootingInstance {
            machine_type: &m.machine_type,
            zone: &m.zone,
            market: Market::from_spot_flag(m.spot),
            overdue: !m.schedulable,
        }));
        let options = ProvisioningOptions {
            partitioned_zones: &partitioned,
            failing_pools: &failing,
            catalog,
            shortages: &self.shortages,
        };
        plan_scale_out(
            &self.placer.unmet_demand,
            &self.pending_capacity(catalog),
            &machines_by_zone,
            &options,
            now,
        )
    }

    /// Returns the instances that are booting, provisioned or requested for this shard's placer.
    fn pending_capacity(&self, catalog: &Catalog) -> Vec<CapacityBin> {
        let partitioned = self.placer.partitioned_zones();
        let bin = |machine_type: &str, zone: &str, spot: bool| CapacityBin {
            pool: InstancePool::new(machine_type, zone, Market::from_spot_flag(spot)),
            free: catalog
                .get(machine_type)
                .map(|t| t.capacity)
                .unwrap_or_default(),
        };
        let booting = self.placer.machines().filter(|m| {
            !m.registered
                && (m.schedulable || partitioned.contains(m.zone.as_str()))
                && m.provisioned_by
                    .is_none_or(|provisioner| provisioner == self.lease.shard)
        });
        let mut bins: Vec<CapacityBin> = booting
            .map(|m| bin(&m.machine_type, &m.zone, m.spot))
            .collect();
        bins.extend(
            self.placer
                .pending_instances
                .iter()
                .map(|p| bin(&p.instance.machine_type, &p.instance.zone, p.instance.spot)),
        );
        for PendingProvisioning { request, .. } in &self.provisioning {
            bins.extend(
                (0..request.count).map(|_| bin(&request.machine_type, &request.zone, request.spot)),
            );
        }
        bins
    }
}
