//! HTTP API for users, the load balancer, workers and operators: its routes and handlers.

mod cancel;
mod commit;
mod heartbeat;
mod job_status;
mod operator_pages;
mod replies;
mod submit;

use std::rc::Rc;

use crate::Node;
use lemonweir_transport::{Handler, Reply, Request};

pub(crate) use replies::log_refused_queries;

/// Path prefix for users and operators. Workers and the load balancer use other paths.
const USERS_PREFIX: &str = "/v1/";
/// Path of the job collection; the path of each job begins with it.
const JOBS_PATH: &str = "/v1/jobs";
/// Path prefix of an image's locality report.
const IMAGE_LOCALITY_PREFIX: &str = "/v1/weights/";
/// Path suffix of a job's cancellation.
const CANCEL_SUFFIX: &str = "/withdraw";

/// The routes of this API. Ids and names are taken from the path unvalidated.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PublicRoute<'a> {
    /// A worker's heartbeat (`/hello`).
    Heartbeat,
    /// The load balancer's readiness check (`/up`).
    Readiness,
    /// Report for operators on links, and on the heartbeats that this controller relays.
    Links,
    /// Report for operators on under-replicated services and the leaders of shards.
    Supervision,
    /// Report for operators on failovers.
    Failovers,
    /// Report for operators on events since the process started.
    Events,
    /// Report for operators on where this image is cached.
    ImageLocality(&'a str),
    /// A user's submission of a job.
    SubmitJob,
    /// A user's query of this job.
    JobStatus(&'a str),
    /// A user's cancellation of this job.
    CancelJob(&'a str),
}

impl<'a> PublicRoute<'a> {
    /// Returns the route for a method and a path without query, or `None` if there is none.
    pub(crate) fn parse(method: &str, path: &'a str) -> Option<Self> {
        match (method, path) {
            ("POST", "/hello") => Some(Self::Heartbeat),
            ("GET", "/up") => Some(Self::Readiness),
            ("GET", "/v1/links") => Some(Self::Links),
            ("GET", "/v1/watch") => Some(Self::Supervision),
            ("GET", "/v1/watch/handovers") => Some(Self::Failovers),
            ("GET", "/v1/events") => Some(Self::Events),
            ("GET", path) if path.starts_with(IMAGE_LOCALITY_PREFIX) => Some(Self::ImageLocality(
                path.trim_start_matches(IMAGE_LOCALITY_PREFIX),
            )),
            ("POST", JOBS_PATH) => Some(Self::SubmitJob),
            (method, path) => {
                let rest = path.strip_prefix(JOBS_PATH)?.strip_prefix('/')?;
                match method {
                    "GET" => Some(Self::JobStatus(rest)),
                    "POST" => rest.strip_suffix(CANCEL_SUFFIX).map(Self::CancelJob),
                    _ => None,
                }
            }
        }
    }
}

/// Handles the requests of users, the load balancer, workers and operators.
pub(crate) struct PublicApi(pub(crate) Rc<Node>);

impl Handler for PublicApi {
    async fn handle(&self, request: Request) -> Reply {
        let node = &self.0;
        let path = request.path.split('?').next().unwrap_or_default();
        let Some(route) = PublicRoute::parse(&request.method, path) else {
            return Reply::empty(404);
        };
        match route {
            PublicRoute::Heartbeat => heartbeat::handle_heartbeat(node, &request.body).await,
            PublicRoute::Readiness => operator_pages::readiness(node),
            PublicRoute::Links => operator_pages::links(node),
            PublicRoute::Supervision => operator_pages::supervision(node),
            PublicRoute::Failovers => operator_pages::failovers(node),
            PublicRoute::Events => operator_pages::events(node),
            PublicRoute::ImageLocality(image) => operator_pages::image_locality(node, image),
            PublicRoute::SubmitJob => submit::submit(node, &request.body).await,
            PublicRoute::JobStatus(id) => job_status::job_status(node, id).await,
            PublicRoute::CancelJob(id) => cancel::cancel(node, id).await,
        }
    }

    fn is_low_priority(&self, request: &Request) -> bool {
        request.path.starts_with(USERS_PREFIX)
    }
}
