//! Division of the cluster-wide retry limits among gateways.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_gateway::settings::RetryLimits;
use mimosa_hold::retry::RetryBudget;
use mimosa_protocol::Timestamp;

const ALLOWED: RetryLimits = RetryLimits {
    permille: 200,
    slack: 52,
};
const WINDOW: Duration = Duration::from_secs(10);

/// Every gateway tries to retry every request; the sum of the retries must stay within the limits.
#[gtest]
fn retries_of_all_gateways_together_stay_within_the_limits() {
    for gateways in [1, 2, 6, 8, 40, 86] {
        let start = Timestamp::from_secs(100);
        let budget = RetryBudget::new(start, ALLOWED.share(gateways));
        let mut budgets = vec![budget; gateways as usize];
        let mut retries = 0;
        let requests = 1_000;
        for number in 0..requests {
            let now = start + WINDOW * number / requests;
            let budget = &mut budgets[(number % gateways) as usize];
            budget.deposit();
            retries += u32::from(budget.try_withdraw(now));
        }
        let allowed = requests / 5 + 52;
        assert_that!(retries, le(allowed), "{gateways} gateways");
        assert_that!(retries, ge(requests / 10), "{gateways} gateways");
    }
}
