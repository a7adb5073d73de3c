//! What is simulated: the deployment, the seed, the span and the schedule of faults.
use crate::prelude::*;

/// What shall be simulated.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// Nodes, origins and traffic.
    pub deployment: Deployment,
    /// Of everything that is drawn.
    pub seed: u64,
    /// Of virtual time.
    pub span: Duration,
    /// What happens when, since the start.
    pub faults: Vec<(Duration, Fault)>,
    /// Messages of this name are all lost: what would be without them?
    pub dropped_message: &'static str,
    /// Clocks run too fast or too slow by up to so many millionths.
    pub drift: u64,
    /// Control nodes that hold a slot.
    pub control: usize,
    /// The seeds are three of them; the table is founded and asked for.
    pub gather: bool,
    /// The last of them starts late, when the table is fixed: it grows.
    pub late_control_node: bool,
    /// How the first seed ends as it fixes the table; it is back a second later.
    pub founder_crash: FounderCrash,
    /// What operators order by items.
    pub commands: Vec<ItemCommand>,
    /// Empty control nodes at addresses of their own, not started by themselves.
    pub spares: usize,
    /// Some callers leave before their answer.
    pub clients_disconnect: bool,
}

/// How the first seed ends as it fixes the membership table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FounderCrash {
    /// It does not end.
    Never,
    /// Before the table is on its disk.
    BeforeSync,
    /// When it is, and nobody was told.
    BeforeReplies,
    /// When all were told.
    AfterReplies,
}

impl WorldPlan {
    /// Clocks off by up to a thousandth, a hundred times what is common.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        span: Duration,
        faults: Vec<(Duration, Fault)>,
    ) -> WorldPlan {
        WorldPlan {
            deployment,
            seed,
            span,
            faults,
            dropped_message: "",
            drift: 1000,
            control: 3,
            gather: false,
            late_control_node: false,
            founder_crash: FounderCrash::Never,
            commands: Vec::new(),
            spares: 1,
            clients_disconnect: false,
        }
    }
}

impl WorldPlan {
    /// So many control nodes. Other than three are founded by a table that is
    /// gathered, by some seeds with one that comes late or with a first seed
    /// that ends right then.
    pub fn with_control_nodes(self, control: usize) -> WorldPlan {
        if control == 3 {
            return self;
        }
        let late_control_node = self.seed.is_multiple_of(3);
        let founder_crash = [
            FounderCrash::Never,
            FounderCrash::BeforeSync,
            FounderCrash::BeforeReplies,
            FounderCrash::AfterReplies,
        ][(self.seed % 7 % 4) as usize];
        WorldPlan {
            control,
            gather: true,
            late_control_node,
            founder_crash,
            ..self
        }
    }
}
