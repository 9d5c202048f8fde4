//! The command line of `chicoryladder`: one file a subcommand.
