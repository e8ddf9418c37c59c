"""Gauges that a gateway shows with its metrics."""

from dataclasses import dataclass

from ibisplank.faults import Boundary
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._frontend import Frontend
from ibisplank.gateway._mesh import Mesh
from ibisplank.gateway._metrics import GatewayMetrics
from ibisplank.gateway._suspects import SuspectCalls
from ibisplank.process import LogBuffer


@dataclass(frozen=True, slots=True)
class GatewayGauges:
    """Parts of a gateway whose state is shown as gauges."""

    fleet: Fleet
    suspects: SuspectCalls
    frontend: Frontend
    mesh: Mesh
    lines: LogBuffer

    def update(self, metrics: GatewayMetrics, now: float) -> None:
        """Set all gauges to their current values."""
        cluster = self.fleet.cluster
        shown = (
            ('config_version', 'Config in force', cluster.config.version),
            (
                'picture_age_seconds',
                'Age of the picture',
                cluster.find_age(now),
            ),
            ('members', 'Gateways known', len(cluster.members)),
            (
                'reader',
                'Whether it reads for others',
                self.mesh.is_reader(),
            ),
            (
                'calls_in_flight',
                'Calls unanswered',
                self.frontend.in_flight,
            ),
            (
                'suspect_calls',
                'Calls under which servers crashed',
                len(self.suspects),
            ),
            (
                'unknown_messages',
                'Messages of gateways that were left out',
                self.mesh.unknown.count,
            ),
            (
                'body_bytes',
                'Memory taken for the bodies of calls',
                self.frontend.bodies.held,
            ),
            ('log_lines_dropped', 'Log lines dropped', self.lines.dropped),
        )
        servers = (*self._list_servers(now), *self._list_answers())
        for name, help_text, amount in (*shown, *servers):
            metrics.set_gauge(name, help_text, float(amount))
        for boundary in Boundary:
            metrics.show_faults(boundary, cluster.faults.count(boundary))

    def _list_answers(self) -> tuple[tuple[str, str, int], ...]:
        """Return the gauges of the answers of all servers."""
        answers = self.fleet.answers
        return (
            (
                'answer_bytes',
                'Memory taken for incomplete answers of servers',
                answers.held,
            ),
            (
                'answers_cut',
                'Answers cut, as they held too much memory',
                answers.cuts,
            ),
        )

    def _list_servers(self, now: float) -> tuple[tuple[str, str, int], ...]:
        """Return the gauges of the backend servers."""
        directory = self.fleet.cluster.directory
        return (
            ('servers', 'Servers known', len(directory.list_all())),
            (
                'servers_leaving',
                'Servers known that said that they leave',
                len(directory.list_leaving()),
            ),
            (
                'servers_quiet',
                'Servers that asked this gateway for quiet',
                self.fleet.quiet.count_quiet(now),
            ),
            (
                'isolated',
                'Whether no backend server is reached',
                self.fleet.own_paths.isolated,
            ),
            (
                'attempts_in_flight',
                'Attempts running',
                sum(self.fleet.list_loads().values()),
            ),
        )
