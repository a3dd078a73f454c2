//! How long a suspect has to object: the longest where one node alone accuses it, down to the shortest as others confirm
//! (Lifeguard's dogpile). A word of its death shortens it further, but never to nothing: who is said to be dead by those that it
//! was cut off from must get the time to object before anybody else believes it.

use crate::Nanos;

/// Confirmations, beside the first accuser, after which the shortest time holds.
const ENOUGH: usize = 3;
/// The longest time in shortest ones.
const STRETCH: u64 = 2;

/// One member's, at one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    since: Nanos,
    shortest: Nanos,
    enough: usize,
    /// Who accuses it, the first one first.
    accusers: Vec<String>,
    /// The latest end, where somebody has said that it is dead.
    cut: Option<Nanos>,
}

impl Suspicion {
    /// Begins; `others` nodes could confirm it.
    pub fn new(now: Nanos, shortest: Nanos, others: usize, accuser: &str, dogpile: bool) -> Self {
        let enough = if dogpile { ENOUGH.min(others) } else { 0 };
        Suspicion { since: now, shortest, enough, accusers: vec![accuser.to_owned()], cut: None }
    }

    /// Somebody accuses it; whether that is news worth passing on.
    pub fn confirm(&mut self, accuser: &str) -> bool {
        let new = self.accusers.len() <= self.enough && !self.accusers.iter().any(|a| a == accuser);
        if new {
            self.accusers.push(accuser.to_owned());
        }
        new
    }

    /// Somebody says that it is dead: it has until then at the most.
    pub fn cut(&mut self, end: Nanos) {
        self.cut = Some(self.cut.map_or(end, |cut| cut.min(end)));
    }

    /// When it is given up.
    pub fn end(&self) -> Nanos {
        let longest = self.shortest.saturating_mul(STRETCH) as f64;
        let shortest = self.shortest as f64;
        let confirmed = self.accusers.len() - 1;
        let part = match self.enough {
            0 => 1.0,
            enough => ((confirmed + 1) as f64).ln() / ((enough + 1) as f64).ln(),
        };
        let lasts = (longest - (longest - shortest) * part.min(1.0)) as Nanos;
        let end = self.since.saturating_add(lasts);
        self.cut.map_or(end, |cut| cut.min(end))
    }

    /// The node itself stood still for so long: nobody could object to it meanwhile.
    pub fn put_off(&mut self, by: Nanos) {
        self.since = self.since.saturating_add(by);
        self.cut = self.cut.map(|cut| cut.saturating_add(by));
    }

    /// Who accuses it.
    pub fn accusers(&self) -> &[String] {
        &self.accusers
    }
}
