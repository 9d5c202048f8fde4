//! Configuration documents of a small deployment.

use crate::fleet::HOST;

/// A tenant of a configuration.
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub rate: u32,
    pub burst: u32,
}

/// The route for batch jobs.
#[derive(Clone, Copy)]
pub struct Jobs {
    /// Whether it needs no key.
    pub public: bool,
    /// The service that it leads to: `engine` or `engine-b`.
    pub service: &'static str,
}

impl Jobs {
    pub const DEFAULT: Self = Self {
        public: false,
        service: "engine",
    };
}

/// A configuration with a route of each kind that the cases use.
pub fn document(version: u64, tenants: &[Tenant], jobs: Jobs) -> String {
    let route =
        |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool, public: bool| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,\
             \"service\":\"{service}\",\"max-attempts\":{attempts},\"public\":{public},\
             \"sticky\":{},\"resumable\":{resumable},\"gap-target-ms\":400,\
             \"completion-target-ms\":18000,\"max-queue-s\":60,\"cap\":1100000}}",
                service.starts_with("engine")
            )
        };
    let routes = [
        route("walk", "streaming", "engine", 1, false, false),
        route("rules", "streaming", "engine", 2, true, false),
        route("ping", "idempotent", "app", 2, false, false),
        route("digest", "bulk", jobs.service, 3, true, jobs.public),
    ];
    let tenants: Vec<String> = tenants
        .iter()
        .map(|tenant| {
            format!(
                "{{\"name\":\"{}\",\"api-keys\":[\"{}\"],\"priority\":1,\"rate-per-s\":{},\
                 \"burst\":{}}}",
                tenant.name, tenant.key, tenant.rate, tenant.burst
            )
        })
        .collect();
    let engine = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":250,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\
             \"kv-capacity-tokens\":147261,\"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{},\
         {{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        engine("engine"),
        engine("engine-b"),
        tenants.join(",")
    )
}
