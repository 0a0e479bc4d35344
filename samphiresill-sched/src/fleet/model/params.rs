//! What a run of the model is given.

use std::time::Duration;

/// `Choice` is how deciders select an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// One decider that knows of each event at once.
    Perfect,
    /// A random engine.
    Random,
    /// The lowest cost of the own view, as without balance.
    Lowest,
    /// The balance of the product.
    Balanced,
    /// The cheaper of two random engines within a margin.
    Sampled,
    /// An owner for each engine.
    Owned,
    /// A part of the engines for each decider.
    Subsets,
    /// Engines that offer themselves when they have answered and are idle.
    Offers,
}

/// `Params` describes one run of the model.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// How deciders select.
    pub choice: Choice,
    /// Number of deciders.
    pub deciders: usize,
    /// Number of engines.
    pub engines: usize,
    /// Mean age of views.
    pub age: Duration,
    /// Load relative to the capacity of all engines.
    pub utilisation: f64,
    /// Time during which samples are taken.
    pub span: Duration,
    /// Fraction of the frames that is lost.
    pub loss: f64,
    /// What else goes wrong after the warm-up.
    pub fault: Fault,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// `Fault` is what goes wrong during a run of the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// No frame of the first decider arrives any more.
    StoppedView,
    /// Every frame arrives twice, the second time 200 ms late and so out of order.
    Duplicated,
    /// The first decider neither decides nor receives for five seconds, then gets what it missed
    /// only with the next frames.
    Suspended,
    /// Half of the deciders die; the others learn of it after one second.
    HalfDead,
    /// The first event of each stream of one engine comes at once, as if it were idle.
    FalseLoad,
    /// Half of the requests come to the first decider.
    Uneven,
    /// One prefix is part of half of the prompts.
    HotPrefix,
}
