"""The processes themselves: settings, clocks, loops, links, logs, metrics."""
