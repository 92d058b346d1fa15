//! Decisions of a scheduling policy.

use mimosa_protocol::EndpointId;
use mimosa_protocol::Epoch;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Refusal;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

data! {
    /// A decision of a policy, to be executed by the driver.
    pub enum Action {
        /// Start the attempt immediately. An entry that no longer holds the request reports the
        /// attempt as ended with [`AttemptEnd::Cancelled`](crate::AttemptEnd::Cancelled).
        Start(Grant),
        /// Remove the request from the queue without running it.
        Refuse {
            /// Request that was queued or has just been submitted.
            request: RequestId,
            /// Reason and retry hint; the request has not run.
            refusal: Refusal,
        },
        /// Stop the attempt at its endpoints. Repeated until the end is reported with
        /// [`Event::Ended`](crate::Event::Ended). The entry resubmits a request that may still run.
        Abort {
            /// Request whose attempt is running.
            request: RequestId,
        },
    }

    /// Permission to run one attempt at the named endpoints.
    pub struct Grant {
        /// Request that may run, once.
        pub request: RequestId,
        /// Epoch of the granting scheduler. Entries reject epochs below the highest one they know.
        pub epoch: Epoch,
        /// Endpoint that processes the prompt; `None` for plain services.
        pub prefill: Option<EndpointId>,
        /// Endpoint that generates the output, or the endpoint of a plain service.
        pub decode: EndpointId,
        /// KV cache blocks reserved at the decode endpoint; zero for plain services.
        pub blocks: KvBlocks,
        /// Latest start of the attempt; the grant is void afterwards.
        pub start_by: Timestamp,
    }
}
