//! Changes of settings while requests are open: open requests keep the rules under which they were admitted.

use super::{Balancer, DecayingValue, DECAY_GIVE_UPS, DELAY_DECAY_AIMS};
use crate::interface::{Class, Nanos, Settings, SettingsError};

/// What is known of the class at one index.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassState {
    /// Whether the settings in force contain the class.
    pub(super) is_in_force: bool,
    /// How many index lists that contain it the caller has not released: see [`Balancer::release_classes`].
    pub(super) holders: u32,
    /// Typical response time, and the number of answers that it is based on.
    pub(crate) typical_nanos: f64,
    pub(crate) answer_count: f64,
    /// Mean and variance of work hints, and their covariance with response times.
    pub(super) hint_moments: [f64; 3],
    /// Estimate of the minimal response time, and by how much recent answers exceeded it.
    pub(crate) min_nanos: f64,
    pub(super) delay: DecayingValue,
    /// When a request was last admitted, and how many were refused since.
    pub(super) admitted_at: Nanos,
    pub(super) refusals: u32,
}

impl ClassState {
    pub(super) fn new(class: &Class) -> Self {
        ClassState { is_in_force: true, typical_nanos: class.aim as f64 / 3.0, ..ClassState::default() }
    }

    /// The state of a class that the balancer is created with, which its caller holds.
    pub(super) fn new_held(class: &Class) -> Self {
        ClassState { holders: 1, ..ClassState::new(class) }
    }
}

impl Balancer {
    /// Replaces the settings and keeps all that is known of servers. For each new class, `predecessors` has
    /// the index of the old class of the same name, as [`Request::class`](crate::interface::Request::class)
    /// has it. Returns the index of each new class; open requests keep theirs, with its rules.
    ///
    /// The caller holds the returned indices, as it holds those of the classes that the balancer was created
    /// with, until it gives them to [`Balancer::release_classes`].
    ///
    /// # Errors
    /// Where the settings are invalid; the old ones stay in force.
    pub fn update_settings(
        &mut self,
        now: Nanos,
        mut settings: Settings,
        predecessors: &[Option<u16>],
    ) -> Result<Vec<u16>, SettingsError> {
        settings.validate()?;
        self.class_states.iter_mut().for_each(|state| state.is_in_force = false);
        let classes = std::mem::take(&mut settings.classes);
        let mut table = std::mem::take(&mut self.settings.classes);
        let indices: Vec<_> = classes
            .iter()
            .enumerate()
            .map(|(k, class)| {
                let predecessor = predecessors.get(k).copied().flatten().map(usize::from);
                let predecessor = predecessor.filter(|index| *index < table.len());
                // A class with other rules gets another index, and starts with what is known of its
                // predecessor.
                let index = predecessor
                    .filter(|index| table[*index] == *class)
                    .unwrap_or_else(|| self.allocate_class(&mut table, class));
                self.class_states[index] = ClassState {
                    is_in_force: true,
                    holders: self.class_states[index].holders + 1,
                    ..self.class_states[predecessor.unwrap_or(index)]
                };
                index as u16
            })
            .collect();
        let max_of = |time: fn(&Class) -> Nanos| classes.iter().map(time).max().unwrap_or(1);
        self.max_give_up = max_of(|class| class.give_up);
        self.decay_nanos = DECAY_GIVE_UPS * self.max_give_up as f64;
        self.delay_decay_nanos = DELAY_DECAY_AIMS * max_of(|class| class.aim) as f64;
        self.settings = Settings { classes: table, ..settings };
        self.forget_tenants_without_quota();
        (0..self.ready_by_zone.len()).for_each(|zone| self.update_ranked_window(now, zone));
        Ok(indices)
    }

    /// Gives back the indices of one list, by which no further request is submitted. A request refers to its
    /// class from when its head arrives, long before it is submitted if its body arrives slowly.
    pub fn release_classes(&mut self, indices: &[u16]) {
        for index in indices {
            if let Some(state) = self.class_states.get_mut(usize::from(*index)) {
                state.holders = state.holders.saturating_sub(1);
            }
        }
    }

    /// Returns an index for a new class: one that is neither held nor in use by an open request, or a new
    /// one.
    fn allocate_class(&mut self, table: &mut Vec<Class>, class: &Class) -> usize {
        let is_open =
            |index: &usize| self.pending.values().any(|pending| usize::from(pending.request.class) == *index);
        let is_held = |index: &usize| self.class_states[*index].holders > 0;
        let free = (0..table.len()).find(|index| !is_held(index) && !is_open(index));
        let index = free.unwrap_or(table.len());
        if index == table.len() {
            table.push(class.clone());
            self.class_states.push(ClassState::default());
        }
        (table[index], self.class_states[index]) = (class.clone(), ClassState::new(class));
        index
    }
}
