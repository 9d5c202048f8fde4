//! Construction of the services behind the ports of a host.

use super::{HostComponents, JOB_MAX_BYTES, clamp_bytes};
use crate::admin::AdminService;
use crate::admission::KeyChecker;
use crate::at_most_once::AtMostOnceClaims;
use crate::job_service::JobService;
use crate::online::OnlineService;
use crate::peers::{PeerDirectory, PeerMessage};
use crate::platform::PlatformService;
use crate::retries::RetryRules;
use crate::routing::{ANNOUNCEMENT_LEASE, RoutingHandle};
use chicoryladder_gateway::{CallerService, ServerClient, ServerPort, ServerService};
use chicoryladder_types::ServerAnnouncement;
use std::sync::Arc;

impl HostComponents {
    pub(super) fn caller_service(&self) -> CallerService {
        let ids = self.ids.clone();
        CallerService {
            online: Arc::new(self.online_service()),
            jobs: Arc::new(self.job_service()),
            platform: Arc::new(PlatformService {
                drain: self.drain.clone(),
                replica: self.replica.clone(),
            }),
            clock: self.clock.clone(),
            ids: Arc::new(move || ids.request()),
            body_max_bytes: clamp_bytes(self.settings.callers.body_max_bytes),
            job_max_bytes: JOB_MAX_BYTES,
            body_timeout: self.settings.callers.body_timeout,
        }
    }

    fn online_service(&self) -> OnlineService {
        OnlineService {
            keys: self.key_checker(),
            replica: self.replica.clone(),
            limits: self.limits.clone(),
            boards: self.boards.clone(),
            quarantine: self.quarantine.clone(),
            routing: self.routing.clone(),
            retries: RetryRules::new(self.ids.seed()),
            at_most_once: AtMostOnceClaims {
                replica: self.replica.clone(),
                clock: self.clock.clone(),
            },
            client: ServerClient::with_connector(self.tunnels.connector.clone()),
            clock: self.clock.clone(),
            metrics: self.metrics.clone(),
            bounds: self.bounds.clone(),
        }
    }

    fn job_service(&self) -> JobService {
        JobService {
            keys: self.key_checker(),
            replica: self.replica.clone(),
            ids: self.ids.clone(),
            metrics: self.metrics.clone(),
        }
    }

    pub(super) fn server_service(&self) -> ServerService {
        ServerService {
            port: Arc::new(AnnouncementRelay {
                routing: self.routing.clone(),
                directory: self.directory.clone(),
            }),
            renew_within: ANNOUNCEMENT_LEASE,
        }
    }

    pub(super) fn admin_service(&self, shared_secret: String) -> AdminService {
        AdminService {
            host: self.settings.host.name.clone(),
            zone: self.settings.host.zone.clone(),
            replica: self.replica.clone(),
            routing: self.routing.clone(),
            peers: self.directory.clone(),
            tombstones: self.tombstones.clone(),
            boards: self.boards.clone(),
            ids: self.ids.clone(),
            shared_secret,
            metrics: self.metrics.clone(),
            clock: self.clock.clone(),
            started_at: self.clock.now(),
        }
    }

    fn key_checker(&self) -> KeyChecker {
        KeyChecker {
            replica: self.replica.clone(),
        }
    }
}

/// Handles announcements of backend servers and forwards them to the other hosts.
struct AnnouncementRelay {
    routing: RoutingHandle,
    directory: PeerDirectory,
}

impl ServerPort for AnnouncementRelay {
    fn announce(&self, announcement: ServerAnnouncement) {
        let message = PeerMessage::Announcement(announcement.clone());
        self.directory.broadcast(&message);
        self.routing.announce(announcement);
    }
}
