//! Other settings take over while requests are open: these keep the rules under which they were taken.

use super::{Balancer, Faded, LAG_MEMORY, RELIEF};
use crate::interface::{Class, Nanos, Settings, SettingsError};

/// A class that has gone keeps its place for this many of the longest give-up times: requests whose
/// body is still coming name it.
const REMEMBER: Nanos = 100;

/// A place in the table of classes, and what has been learnt there.
#[derive(Clone, Copy, Default)]
pub(crate) struct Place {
    /// Since when no settings name it; none while they do.
    pub(super) retired: Option<Nanos>,
    /// The yardstick of its answer times, how many answers that rests on, and what hints tell of them.
    pub(crate) typical_nanos: f64,
    pub(crate) answer_count: f64,
    pub(super) hints: [f64; 3],
    /// About the least that its answers take, and how much longer they take of late.
    pub(crate) min_nanos: f64,
    pub(super) waits: Faded,
    /// When one was last sent, and how many were refused since.
    pub(super) tried_at: Nanos,
    pub(super) refused: u32,
}

impl Place {
    pub(super) fn new(class: &Class) -> Self {
        Place { typical_nanos: class.aim as f64 / 3.0, ..Place::default() }
    }
}

impl Balancer {
    /// Goes by other settings from here on, with all that is known of servers. For each of their classes
    /// `predecessors` says whose name it has, by place in the settings or as this returned it. Returns each
    /// class's place, by which [`Request::class`](crate::interface::Request::class) names it; open requests
    /// keep theirs, with its rules.
    ///
    /// # Errors
    /// Where no node could act on the settings; the old ones stay in force.
    pub fn update_settings(
        &mut self,
        now: Nanos,
        mut settings: Settings,
        predecessors: &[Option<u16>],
    ) -> Result<Vec<u16>, SettingsError> {
        settings.validate()?;
        self.places.iter_mut().for_each(|place| place.retired = place.retired.or(Some(now)));
        let classes = std::mem::take(&mut settings.classes);
        let mut table = std::mem::take(&mut self.settings.classes);
        let places: Vec<_> = classes
            .iter()
            .enumerate()
            .map(|(k, class)| {
                let predecessor = predecessors.get(k).copied().flatten().map(usize::from);
                let predecessor = predecessor.filter(|p| *p < table.len());
                // The same name with other rules is another class; it begins with what was learnt.
                let at = predecessor
                    .filter(|p| table[*p] == *class)
                    .unwrap_or_else(|| self.place(now, &mut table, class));
                self.places[at] = Place { retired: None, ..self.places[predecessor.unwrap_or(at)] };
                at as u16
            })
            .collect();
        let named = |part: fn(&Class) -> Nanos| classes.iter().map(part).max().unwrap_or(1);
        self.longest = named(|c| c.give_up);
        self.memory = LAG_MEMORY * self.longest as f64;
        self.relief = RELIEF * named(|c| c.aim) as f64;
        self.settings = Settings { classes: table, ..settings };
        self.forget_tenants_without_quota();
        (0..self.ready.len()).for_each(|zone| self.regroup(now, zone));
        Ok(places)
    }

    /// A place for a new class: one that nothing goes by any longer, or one more.
    fn place(&mut self, now: Nanos, table: &mut Vec<Class>, class: &Class) -> usize {
        let old = REMEMBER * self.longest;
        let over = |p: &usize| self.places[*p].retired.is_some_and(|at| now.saturating_sub(at) > old);
        let open = |p: &usize| self.pending.values().any(|r| usize::from(r.request.class) == *p);
        let free = (0..table.len()).find(|p| over(p) && !open(p));
        let at = free.unwrap_or(table.len());
        if at == table.len() {
            table.push(class.clone());
            self.places.push(Place::default());
        }
        (table[at], self.places[at]) = (class.clone(), Place::new(class));
        at
    }
}
