//! HTTP towards callers, backend servers, the platform and operators.
