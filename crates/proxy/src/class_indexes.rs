//! The indexes of a plan's classes in a pool's decision module.

use corkhollow_engine::Engine;
use std::ops::Deref;
use std::rc::Rc;

/// For each class of a plan, its index in a pool's decision module. Requests hold the plan, and with it these
/// indexes, from when their head arrives; the module may reuse them once this is dropped.
pub struct ClassIndexes {
    engine: Rc<Engine>,
    indexes: Vec<u16>,
}

impl ClassIndexes {
    /// Takes over indexes that the engine returned, or has from the start.
    pub(crate) fn new(engine: &Rc<Engine>, indexes: Vec<u16>) -> Rc<Self> {
        Rc::new(ClassIndexes { engine: engine.clone(), indexes })
    }
}

impl Deref for ClassIndexes {
    type Target = [u16];

    fn deref(&self) -> &[u16] {
        &self.indexes
    }
}

impl Drop for ClassIndexes {
    fn drop(&mut self) {
        self.engine.release_classes(&self.indexes);
    }
}
