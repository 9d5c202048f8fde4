//! Routes from request paths to models and plain services.

use crate::value::SettingValue;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ModelName, RouteName, ServiceName};
use std::fmt;

/// The maximum length of a path prefix, in bytes.
const PATH_MAX_BYTES: usize = 512;

/// Which target serves the requests on a path, and how they may be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetRoute {
    /// The path prefix, which matches whole path segments.
    pub path: String,
    /// The methods that the route accepts, sorted.
    pub methods: Vec<RouteMethod>,
    /// What serves the route.
    pub target: RouteTarget,
    /// The classes that a request may select; the first is the default.
    pub classes: Vec<ClassName>,
    /// Whether requests are served without an API key.
    pub open: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

impl FleetRoute {
    /// Whether `path` matches the route's prefix.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
    }

    /// Whether the route accepts `method`.
    #[must_use]
    pub fn allows(&self, method: &str) -> bool {
        self.methods.iter().any(|known| known.as_str() == method)
    }
}

/// The route of a request, or why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// The route for the request.
    Found {
        /// The name of the route.
        name: &'a RouteName,
        /// The route.
        route: &'a FleetRoute,
    },
    /// A route matches the path, but does not accept the method.
    WrongMethod,
    /// No route matches the path.
    Unknown,
}

/// What serves a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// A fixed model, regardless of the model that the request names.
    Model(ModelName),
    /// The model that the request names.
    AnyModel,
    /// A plain service, which is an HTTP service without models.
    Service(ServiceName),
}

impl fmt::Display for RouteTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model {name}"),
            Self::AnyModel => f.write_str("models"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

impl SettingValue for RouteTarget {
    const EXPECTED: &'static str = "models | model NAME | service NAME";

    fn parse(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        match words.as_slice() {
            ["models"] => Ok(Self::AnyModel),
            ["model", name] => ModelName::parse(name).map(Self::Model),
            ["service", name] => ServiceName::parse(name).map(Self::Service),
            _ => Err(format!("`{text}` names no model and no service")),
        }
    }
}

macro_rules! route_methods {
    ($($name:ident => $text:literal,)*) => {
        /// An HTTP method that routes can accept.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RouteMethod {
            $(#[doc = concat!("The method `", $text, "`.")] $name,)*
        }

        impl RouteMethod {
            /// The method as written in a request line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }

        impl SettingValue for RouteMethod {
            const EXPECTED: &'static str = "METHOD";

            fn parse(text: &str) -> Result<Self, String> {
                match text {
                    $($text => Ok(Self::$name),)*
                    _ => Err(format!("`{text}` is not an HTTP method in capitals")),
                }
            }
        }
    };
}

route_methods! {
    Delete => "DELETE",
    Get => "GET",
    Head => "HEAD",
    Options => "OPTIONS",
    Patch => "PATCH",
    Post => "POST",
    Put => "PUT",
}

impl fmt::Display for RouteMethod {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A path prefix of a route.
pub(super) struct RoutePath(pub(super) String);

impl SettingValue for RoutePath {
    const EXPECTED: &'static str = "/PATH";

    fn parse(text: &str) -> Result<Self, String> {
        if !text.starts_with('/') {
            return Err(format!("`{text}` does not start with `/`"));
        }
        if text.len() > PATH_MAX_BYTES {
            return Err(format!("the path has more than {PATH_MAX_BYTES} bytes"));
        }
        let invalid = |b: &u8| !b.is_ascii_graphic() || matches!(b, b'?' | b'#');
        if text.bytes().any(|b| invalid(&b)) {
            return Err(format!("`{text}` holds a character that paths cannot have"));
        }
        Ok(Self(text.to_owned()))
    }
}
