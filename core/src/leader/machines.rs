//! Direct commands to machines, and machines that fall silent.

use super::*;

impl Term {
    pub(super) fn send_direct(&mut self, certain: bool, io: &mut Io) {
        let token = self.token();
        let mut sends = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.direct_in_flight || machine.inspect_failed || machine.return_in_flight {
                continue;
            }
            let Some(addr) = machine.addr.clone() else {
                continue;
            };
            let greeting = machine.greet
                && machine
                    .greeted_at
                    .is_none_or(|at| io.now >= at + DO_TIMEOUT_MS / 2);
            if !(greeting || machine.synced && machine.wants_direct(certain, io.now)) {
                continue;
            }
            let orders = if machine.synced {
                machine.orders(None, certain, io.now)
            } else {
                Vec::new()
            };
            if orders.is_empty() && !greeting {
                continue;
            }
            machine.direct_in_flight = true;
            if greeting {
                machine.greeted_at = Some(io.now);
            }
            // A machine from a record was last seen in an unknown session; nearly
            // always the first. A wrong guess is answered with a report.
            let session = machine.session.max(1);
            let body = json(&DirectOrders {
                token,
                session,
                orders,
            });
            sends.push((machine.id.clone(), addr, session, body, greeting));
        }
        for (machine, addr, session, body, greeting) in sends {
            let purpose = self.purpose(TermCallKind::Direct(Direct {
                machine,
                token,
                session,
                greeting,
            }));
            io.call(
                Destination::Worker(addr),
                Method::Post,
                paths::DIRECT.to_owned(),
                body,
                DO_TIMEOUT_MS,
                purpose,
            );
        }
    }

    pub(super) fn direct_answered(
        &mut self,
        direct: Direct,
        outcome: &Outcome,
        leadership: &mut Leadership,
        io: &mut Io,
    ) -> Option<News> {
        let Direct {
            machine: id,
            token,
            session,
            greeting,
        } = direct;
        let current = self.token();
        let machine = self.machines.get_mut(&id)?;
        machine.direct_in_flight = false;
        let status = outcome.status();
        match (outcome, status) {
            (_, Some(200)) => machine.direct_settled(true),
            (Outcome::NotSent, _) | (_, Some(400 | 409)) => machine.direct_settled(false),
            _ => machine.direct_unanswered(token, session),
        }
        let report = outcome.read::<Report>(&[200, 409])?;
        if report.machine != *id.0 {
            // Another machine has this address now.
            return None;
        }
        if report.token > current {
            return leadership.deposed("a worker has seen a newer leader");
        }
        if greeting && status == Some(200) {
            machine.greet = false;
        } else if greeting {
            machine.greeted_at = None;
        }
        self.absorb(&report, io);
        None
    }

    pub(super) fn check_machines(&mut self, settings: &Settings, io: &mut Io) {
        let workers = &settings.deployment.workers;
        let lease_ms = (workers.lease_s * SECOND_MS as f64) as u64;
        let lease_ms = lease_ms + lease_ms * CLOCK_DRIFT_PPM / 1_000_000 + LEASE_MARGIN_MS;
        let roll_call = self.call_roll(io.now);
        let mut inspect = Vec::new();
        let mut lapsed = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.has_been_up() {
                continue;
            }
            let last = machine.heard.unwrap_or(self.started);
            let asked = roll_call && !machine.inspect_failed && io.now > last;
            if io.now < last + ASK_AFTER_MS && !machine.inspect_due && !asked {
                continue;
            }
            if !machine.inspecting
                && let Some(addr) = &machine.addr
            {
                machine.inspecting = true;
                inspect.push((machine.id.clone(), addr.clone()));
            }
            // The longest that anyone could have kept its lease alive: this leader
            // until it last heard from it, a former one until it had to stop.
            let kept_until = if machine.synced {
                last.max(machine.answered.unwrap_or(0))
            } else {
                self.started + keep_alive_ms(&settings.deployment)
            };
            if io.now > kept_until + lease_ms && machine.attempts.iter().any(|attempt| !attempt.never_sent())
            {
                lapsed.push(machine.id.clone());
            }
        }
        for (machine, addr) in inspect {
            let purpose = self.purpose(TermCallKind::Inspect { machine });
            io.call(
                Destination::Worker(addr),
                Method::Get,
                paths::INSPECT.to_owned(),
                Vec::new(),
                INSPECT_TIMEOUT_MS,
                purpose,
            );
        }
        for id in lapsed {
            log::info!("machine={id} its lease has run out: nothing is left on it");
            let changes = self.machines.get_mut(&id).map(Machine::clear).unwrap_or_default();
            self.apply(&id, changes, io);
            self.changed = true;
        }
        self.gone.retain(|_, since| io.now < *since + GONE_MEMORY_MS);
    }

    pub(super) fn inspected(
        &mut self,
        id: &MachineId,
        outcome: &Outcome,
        leadership: &mut Leadership,
        io: &mut Io,
    ) -> Option<News> {
        let current = self.token();
        let machine = self.machines.get_mut(id)?;
        machine.inspecting = false;
        machine.inspect_due = false;
        match outcome
            .read::<Report>(&[200])
            .filter(|report| report.machine == *id.0)
        {
            Some(report) if report.token > current => {
                return leadership.deposed("a worker has seen a newer leader");
            }
            Some(report) => {
                self.absorb(&report, io);
            }
            None => {
                if !machine.inspect_failed {
                    log::info!("machine={id} is silent and does not answer");
                    machine.silent_at = io.now;
                }
                machine.inspect_failed = true;
                self.changed = true;
            }
        }
        None
    }

    /// Machines fall silent one after the other, as their reports fall due, also
    /// when it is the leader who is cut off. So whenever one is newly silent, all
    /// are asked at once, before it is given back. Returns whether to ask now.
    pub(super) fn call_roll(&mut self, now: Millis) -> bool {
        let newest = self
            .machines
            .values()
            .filter(|machine| machine.inspect_failed && !machine.returning)
            .map(|machine| machine.silent_at)
            .max();
        let due = newest.is_some_and(|silent_at| self.roll_call.is_none_or(|at| at < silent_at));
        if due {
            self.roll_call = Some(now);
        }
        due
    }

    /// Most of the other machines have been heard since the roll was called.
    pub(super) fn others_answer(&self) -> bool {
        let Some(called) = self.roll_call else {
            return false;
        };
        let others = self
            .machines
            .values()
            .filter(|machine| machine.is_up() && !machine.inspect_failed);
        let (mut heard, mut all) = (0, 0);
        for machine in others {
            all += 1;
            heard += u32::from(machine.heard.is_some_and(|at| at >= called));
        }
        2 * heard >= all
    }

    pub(super) fn silent(&self) -> (u32, u32) {
        let up = self.machines.values().filter(|machine| machine.has_been_up());
        let (mut silent, mut all) = (0, 0);
        for machine in up {
            all += 1;
            silent += u32::from(machine.inspect_failed);
        }
        (silent, all)
    }

    /// So many machines fall silent at once that this node may be the one cut off.
    pub(super) fn doubts_itself(&self) -> bool {
        let (silent, all) = self.silent();
        silent >= 2 && f64::from(silent) > SUSPECT_SELF_SHARE * f64::from(all)
    }

    pub(super) fn check_self(
        &mut self,
        leadership: &mut Leadership,
        siblings: Siblings,
        io: &mut Io,
    ) -> Option<News> {
        if !self.doubts_itself() {
            self.doubting_since = None;
            return None;
        }
        let since = *self.doubting_since.get_or_insert(io.now);
        if io.now >= since + SUSPECT_SELF_MS && siblings.hears > 0 {
            return leadership.hand_over("most workers are silent here, but not to a sibling", io);
        }
        None
    }
}
