//! Pure decisions: limits, routing, queues, retries and quarantine.
