//! Cloud instances that belong to this shard: those that placers requested and those in the
//! provider's inventory.

use super::*;

impl Owner {
    /// Registers an instance reported by a placer or the inventory. Returns `None` if it was
    /// released.
    fn register_instance(
        &mut self,
        instance: &ProvisionedInstance,
        now: u64,
    ) -> Option<&mut Machine> {
        if self.released_machines.contains(&instance.machine) {
            return None;
        }
        if !self.machines.contains_key(&instance.machine) {
            self.changed_machines.insert(instance.machine.clone());
            self.insert_machine(
                &instance.machine,
                &instance.machine_type,
                &instance.zone,
                instance.spot,
                now,
            );
        }
        let m = self.machines.get_mut(&instance.machine)?;
        // New, or known only from unconfirmed heartbeats so far.
        if m.last_heartbeat_at.is_none() && !m.announced {
            m.provisioned_at = now.saturating_sub(instance.age_ms);
            m.announced = true;
            self.changed_machines.insert(instance.machine.clone());
        }
        Some(m)
    }

    /// Adds a machine that this owner did not know so far.
    pub(super) fn insert_machine(
        &mut self,
        id: &MachineId,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: u64,
    ) {
        let capacity = self.catalog.capacity(machine_type);
        let mut m = Machine::new(machine_type, zone, spot, capacity, self.base_token(), now);
        // An attempt placed there or a record of its images shows that it ran before.
        m.recorded_running_at = self
            .unseen_machines
            .get(id)
            .copied()
            .or(self.inherited_images.contains_key(id).then_some(now));
        self.machines.insert(id.clone(), m);
    }

    /// Registers an instance that a placer has requested.
    pub(super) fn expect_instance(
        &mut self,
        instance: &ProvisionedInstance,
        placer: u16,
        now: u64,
    ) {
        if let Some(m) = self.register_instance(instance, now) {
            m.provisioned_by = Some(placer);
            self.changed_machines.insert(instance.machine.clone());
        }
    }

    /// Applies a page of the provider's inventory, filtered to this shard's machines.
    pub fn apply_inventory(&mut self, entries: &[InstanceEntry], now: u64) {
        self.inventory_read_at = now;
        for entry in entries {
            let instance = ProvisionedInstance {
                machine: entry.id.clone(),
                machine_type: entry.machine_type.clone(),
                zone: entry.zone.clone(),
                spot: entry.spot,
                age_ms: (entry.age_s * 1000.0) as u64,
            };
            let Some(m) = self.register_instance(&instance, now) else {
                continue;
            };
            if entry.phase == "running" && m.last_heartbeat_at.is_none() {
                // The machine may no longer exist: the inventory lags, and a new owner does
                // not know what its predecessor released. Its silence counts from now, so
                // that it is not waited for as long as a booting machine; if it runs, it soon
                // sends a heartbeat.
                m.recorded_running_at.get_or_insert(now);
            }
            if entry.phase == "failed" {
                m.release_requested = true;
                self.changed_machines.insert(entry.id.clone());
            }
            self.unseen_machines.remove(&entry.id);
        }
    }

    /// Requests the release of machines that attempts are placed on but that the inventory
    /// does not list: only the provider's confirmation proves that they are gone. Until an
    /// inventory was read after the placement, they may just be partitioned.
    pub(super) fn release_unlisted(&mut self, now: u64) {
        let lease_expiry_ms = self.timing.lease_expiry_ms();
        let unlisted: Vec<MachineId> = self
            .unseen_machines
            .iter()
            .filter(|(id, since)| {
                now > **since + lease_expiry_ms
                    && self.inventory_read_at > **since
                    && !self.machines.contains_key(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in unlisted {
            let mut m = Machine::new("", "", false, Resources::default(), self.base_token(), now);
            m.release_requested = true;
            self.machines.insert(id, m);
        }
        let machines = &self.machines;
        self.unseen_machines
            .retain(|id, _| !machines.contains_key(id));
    }
}
