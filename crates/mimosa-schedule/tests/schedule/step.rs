//! Random steps of a simulation.

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        account: u8,
        prompt: u16,
        output: u16,
    },
    Cancel(u8),
    Advance {
        which: u8,
        tokens: u8,
    },
    End {
        which: u8,
        end: u8,
        end_is_lost: bool,
    },
    Wait(u16),
    EndpointDown(u8),
    EndpointUp(u8),
    ToggleDraining(u8),
    ToggleDataCentre,
    Report,
    RepeatEvent,
}

/// Steps of all kinds, including faults.
pub fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        30 => (any::<u8>(), any::<u16>(), any::<u16>())
            .prop_map(|(account, prompt, output)| Step::Submit { account, prompt, output }),
        3 => any::<u8>().prop_map(Step::Cancel),
        60 => (any::<u8>(), any::<u8>())
            .prop_map(|(which, tokens)| Step::Advance { which, tokens }),
        15 => (any::<u8>(), any::<u8>())
            .prop_map(|(which, end)| Step::End { which, end, end_is_lost: false }),
        1 => any::<u8>().prop_map(|which| Step::End { which, end: 0, end_is_lost: true }),
        30 => (0..400_u16).prop_map(Step::Wait),
        1 => any::<u8>().prop_map(Step::EndpointDown),
        3 => any::<u8>().prop_map(Step::EndpointUp),
        2 => any::<u8>().prop_map(Step::ToggleDraining),
        1 => Just(Step::ToggleDataCentre),
        2 => Just(Step::Report),
        5 => Just(Step::RepeatEvent),
    ]
}

/// Steps without faults that fill up the memory.
pub fn busy_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (any::<u8>(), any::<u16>(), any::<u16>())
            .prop_map(|(account, prompt, output)| Step::Submit { account, prompt, output }),
        100 => (any::<u8>(), any::<u8>())
            .prop_map(|(which, tokens)| Step::Advance { which, tokens }),
        4 => any::<u8>().prop_map(|which| Step::End { which, end: 3, end_is_lost: false }),
        10 => (0..400_u16).prop_map(Step::Wait),
    ]
}
