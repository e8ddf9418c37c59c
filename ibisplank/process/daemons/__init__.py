"""Entry and agent daemons: settings, clocks, peer links, logs and metrics."""
