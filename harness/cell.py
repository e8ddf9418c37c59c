"""A cell and its stand-ins as separate processes on the loopback interface."""

import subprocess
import sys
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from harness.processes import (
    LOOPBACK,
    pick_port,
    stop_all,
    wait_for,
)
from ibisplank.ids import ServerId, ServiceId, VmId, VmState, ZoneId
from ibisplank.version import Server, VmList


@dataclass(frozen=True)
class ServiceShape:
    """Size of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    servers : int
        Number of backend servers.
    slots : int
        Number of slots of each backend server.
    processes : int
        Number of processes that the backend servers are divided among.
    """

    name: str
    servers: int
    slots: int
    processes: int = 1


@dataclass
class EntryProcesses:
    """Processes and addresses of an entry and the agent on the same VM."""

    vm: str
    zone: str
    listen: str
    peer: str
    agent_peer: str
    entry: subprocess.Popen[bytes]
    agent: subprocess.Popen[bytes]


@dataclass
class Cell:
    """Context manager that starts the processes of one cell and stops them.

    Attributes
    ----------
    zones : tuple of str
        Availability zones; servers and entries are distributed round-robin.
    services : tuple of ServiceShape
        Services of the cell.
    entries : int
        Number of entries at the start of the cell; `add_entry` adds more.
    policy : str
        Value of the `--policy` option of the entries.
    log : Path or None
        File for the output of all processes, which is discarded if None.
    use_seeds : bool
        Whether a new agent gets the addresses of the earlier ones as seeds.
    platform : str
        Address of the platform stand-in.
    servers : list of Server
        Backend servers of all services.
    members : list of EntryProcesses
        Entries with their agents, in the order of their start.
    serial : int
        Serial number of the last VM list that was published.
    platform_process : Popen or None
        Process of the platform stand-in.
    backends : dict of str to Popen
        Processes of the backend servers by `service/index`.
    daemon_flags : tuple of str
        Further options of each entry and agent.
    """

    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    entries: int = 3
    policy: str = 'shared'
    log: Path | None = None
    use_seeds: bool = False
    platform: str = ''
    servers: list[Server] = field(default_factory=list)
    members: list[EntryProcesses] = field(default_factory=list)
    serial: int = 0
    platform_process: subprocess.Popen[bytes] | None = None
    backends: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    daemon_flags: tuple[str, ...] = ()

    def __enter__(self) -> 'Cell':
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _start(self) -> None:
        self.platform = f'{LOOPBACK}:{pick_port()}'
        self.platform_process = self.spawn(
            'standin',
            'platform',
            '--listen',
            self.platform,
        )
        for shape in self.services:
            self._start_backends(shape)
        wait_for(lambda: self.get(self.platform, '/counters'))
        for server in self.servers:
            wait_for(lambda s=server: self.get(s.address, '/standin/counters'))
        self.publish()
        for number in range(self.entries):
            self.add_entry(number)

    def _start_backends(self, shape: ServiceShape) -> None:
        ports = [pick_port() for _ in range(shape.servers)]
        for index in range(shape.processes):
            own_ports = ports[index :: shape.processes]
            self.backends[f'{shape.name}/{index}'] = self.spawn(
                'standin',
                'backend',
                '--slots',
                str(shape.slots),
                '--ports',
                ','.join(map(str, own_ports)),
            )
        for number, port in enumerate(ports):
            zone = self.zones[number % len(self.zones)]
            name = f'{shape.name}-{number}'
            self.servers.append(
                Server(
                    ServerId(name),
                    VmId(f'vm-{name}'),
                    ZoneId(zone),
                    ServiceId(shape.name),
                    f'{LOOPBACK}:{port}',
                    shape.slots,
                ),
            )

    def add_entry(self, number: int) -> EntryProcesses:
        """Start one entry and its agent; the number selects VM and zone."""
        zone = self.zones[number % len(self.zones)]
        vm = f'vm-{number}'
        addresses = [f'{LOOPBACK}:{pick_port()}' for _ in range(3)]
        listen, peer, agent_peer = addresses
        shared_flags = ('--vm', vm, '--zone', zone, '--platform', self.platform)
        entry = self.spawn(
            'entry',
            *shared_flags,
            '--listen',
            listen,
            '--peer',
            peer,
            '--policy',
            self.policy,
            *self.daemon_flags,
        )
        seeds: list[str] = []
        if self.use_seeds:
            for member in self.members:
                seeds += ['--seed', member.agent_peer]
        agent = self.spawn(
            'agent',
            *shared_flags,
            '--entry',
            peer,
            '--peer',
            agent_peer,
            *seeds,
            *self.daemon_flags,
        )
        started = EntryProcesses(
            vm,
            zone,
            listen,
            peer,
            agent_peer,
            entry,
            agent,
        )
        self.members.append(started)
        return started

    def spawn(self, program: str, *flags: str) -> subprocess.Popen[bytes]:
        """Start one of the project's programs; return its process."""
        output = None if self.log is None else self.log.open('ab')
        return subprocess.Popen(
            [sys.executable, '-m', 'harness.program', program, *flags],
            stdout=output or subprocess.DEVNULL,
            stderr=output or subprocess.DEVNULL,
        )

    def publish(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the VM list on the platform; mark some servers as leaving."""
        self.serial += 1
        servers = tuple(
            msgspec.structs.replace(
                server,
                state=VmState.LEAVING
                if server.server in leaving
                else VmState.LIVE,
            )
            for server in self.servers
        )
        listing = VmList(self.serial, servers)
        self.put(self.platform, '/vms', listing)

    def ctl(self, *flags: str, check: bool = True) -> str:
        """Run the operators' command-line tool and return its output."""
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'harness.program',
                'ctl',
                '--platform',
                self.platform,
                *flags,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        if check and done.returncode:
            raise RuntimeError(done.stderr)
        return done.stdout

    def wait_ready(self) -> None:
        """Wait until running entries are ready and on each other's rosters."""
        live = [each for each in self.members if each.entry.poll() is None]
        for member in live:
            wait_for(lambda m=member: self.get(m.listen, '/readyz') is not None)
            wait_for(
                lambda m=member: (
                    self.read_gauge(m, 'roster_members') == len(live)
                ),
            )

    def wait_in_force(self) -> None:
        """Wait until all entries have the table's configuration in force."""
        status = msgspec.json.decode(self.ctl('--output', 'json', 'status'))
        revision = status['revision']
        for member in self.members:
            wait_for(
                lambda m=member: (
                    self.read_gauge(m, 'config_revision') >= revision
                ),
            )

    def read_gauge(self, member: EntryProcesses, name: str) -> float:
        """Return the value of a gauge of an entry, or -1 if it has none."""
        text = self.get(member.listen, '/metrics') or b''
        for line in text.decode().splitlines():
            if line.startswith(f'ibisplank_{name}'):
                return float(line.rpartition(' ')[2])
        return -1.0

    def get(self, address: str, path: str) -> bytes | None:
        """Return the response body of a GET request, or None on failure."""
        try:
            with urllib.request.urlopen(
                f'http://{address}{path}',
                timeout=2,
            ) as reply:
                return bytes(reply.read())
        except OSError:
            return None

    def put(self, address: str, path: str, body: object) -> None:
        """Send a PUT request with a JSON body."""
        request = urllib.request.Request(
            f'http://{address}{path}',
            data=msgspec.json.encode(body),
            method='PUT',
        )
        with urllib.request.urlopen(request, timeout=2) as reply:
            reply.read()

    def stop(self) -> None:
        """Stop all processes gracefully, entries first."""
        daemons = [each.entry for each in self.members]
        daemons += [each.agent for each in self.members]
        stop_all(daemons)
        rest = list(self.backends.values())
        if self.platform_process is not None:
            rest.append(self.platform_process)
        stop_all(rest)
