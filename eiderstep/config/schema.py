"""The settings of a call server as checked structs.  Durations are integer nanoseconds.

The defaults are those of the RFCs or safe sizes.  These settings are the only source of those of the decision
module (`interface.Settings`).
"""

from __future__ import annotations

from ipaddress import ip_network
from typing import Annotated

import msgspec
from msgspec import Meta

from eiderstep import interface as io

MS = 1_000_000
SECOND = 1000 * MS

Duration = Annotated[int, Meta(ge=MS, le=86_400 * SECOND, description="ms(1) to s(86400)")]
DurationOrZero = Annotated[int, Meta(ge=0, le=86_400 * SECOND, description="0 to s(86400)")]
Number = Annotated[int, Meta(ge=0, le=65535, description="0 to 65535")]
Count = Annotated[int, Meta(ge=1, le=1_000_000, description="1 to 1000000")]
Share = Annotated[float, Meta(gt=0, le=1, description="above 0, at most 1")]
Worth = Annotated[float, Meta(ge=0, le=1e9, description="0 to 1e9")]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$", description="letters, digits and ._-")]
Prefix = Annotated[str, Meta(pattern=r"^[0-9]{0,32}$", description="up to 32 digits")]
Address = Annotated[str, Meta(pattern=r"^[^\s]+:[0-9]{1,5}$", description="host:port")]
Host = Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:]{2,45}$", description="an IP address")]
Network = Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:]{2,45}(/[0-9]{1,3})?$", description="address/bits")]
Domain = Annotated[str, Meta(pattern=r"^([A-Za-z0-9.-]{1,253})?$", description="a domain name")]


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all settings structs: an unknown field is an error and is not ignored."""


class CallClass(StrictStruct, frozen=True, kw_only=True):
    """A call class; `name` is the value of the class header."""

    name: Name
    aim: Duration
    give_up: Duration
    mean_hold: Duration
    worth: Worth = 1.0
    width: Annotated[int, Meta(ge=1, le=64, description="1 to 64")] = 1
    late_share: Annotated[float, Meta(ge=0, le=1, description="0 to 1")] = 0.0


class Peer(StrictStruct, frozen=True, kw_only=True):
    """A neighbouring exchange.  `circuits` is the size of the common trunk group, 0 if there is none."""

    number: Number
    address: Address
    circuits: Annotated[int, Meta(ge=0, le=65535, description="0 to 65535")]
    zone: Number = 0
    hosts: list[Host] = []  # source addresses beside the host of `address` (links without TLS)
    identity: Domain = ""  # name in its certificate; x<number>.<context> if empty
    plain: bool = False  # its link is without TLS although this server has TLS


class Route(StrictStruct, frozen=True, kw_only=True):
    """Numbers with this prefix belong to that exchange; the longest matching prefix wins."""

    prefix: Prefix
    exchange: Number


class Cold(StrictStruct, frozen=True, kw_only=True):
    """Rule 4: how much load a processor is assumed to take just after its start."""

    multiple: Annotated[float, Meta(gt=0, le=1000, description="above 0, at most 1000")] = 2.0
    window: DurationOrZero = 2 * SECOND
    share: Share = 0.3
    time: DurationOrZero = 0


class Rules(StrictStruct, frozen=True, kw_only=True):
    """The parameters of the five rules, and what callers and exchanges permit."""

    answer_margin: DurationOrZero = 50 * MS  # the last answer leaves this long before the caller gives up
    drain_grace: Duration = 500 * MS
    release_wait: Duration = 500 * MS
    attempts: Annotated[int, Meta(ge=1, le=64, description="1 to 64")] = 4
    cold: Cold = Cold()
    probes: bool = False
    cancels: bool = True
    pauses: bool = True
    longest_pause: DurationOrZero = 2 * SECOND
    redials_marked: bool = False


class Register(StrictStruct, frozen=True, kw_only=True):
    """The register, a source of the list of exchanges.  `on_request`: it sends the list only on request."""

    address: Address
    path: Annotated[str, Meta(pattern=r"^/[^\s]*$", description="a path from /")] = "/exchanges"
    on_request: bool = False
    retry: Duration = 500 * MS
    silence: Duration = 10 * SECOND  # idle timeout: without a line for so long, the connection is closed


class Tls(StrictStruct, frozen=True, kw_only=True):
    """Client side TLS to the registry; files in PEM.  `cert` and `key` are for mutual TLS."""

    ca: Annotated[str, Meta(min_length=1, description="a file of CA certificates")]
    cert: str = ""
    key: str = ""
    name: str = ""  # expected name in the server's certificate; the dialled host if empty


class Lease(StrictStruct, frozen=True, kw_only=True):
    """The entry that this call server keeps up in the registry.  `renew` and `duration` are in seconds."""

    app: Name
    id: Name
    renew: Annotated[int, Meta(ge=1, le=3600, description="1 to 3600 seconds")] = 30
    duration: Annotated[int, Meta(ge=2, le=7200, description="2 to 7200 seconds")] = 90
    vip: str = ""
    metadata: dict[str, str] = {}


class Registry(StrictStruct, frozen=True, kw_only=True):
    """A Eureka registry as the source of the list of exchanges."""

    addresses: Annotated[list[Address], Meta(min_length=1, max_length=16, description="1 to 16 addresses")]
    app: Name
    path: Annotated[str, Meta(pattern=r"^(/[^\s?#]*)?$", description="a path from /, or empty")] = "/eureka"
    ask: Annotated[str, Meta(pattern="^(all|app|vip)$", description="all, app or vip")] = "all"
    vip: str = ""
    form: Annotated[str, Meta(pattern="^(json|xml)$", description="json or xml")] = "json"
    follow: Annotated[int, Meta(ge=1, le=4, description="1 to 4")] = 2  # addresses polled independently
    poll: Duration = 5 * SECOND
    full_every: DurationOrZero = 300 * SECOND  # interval of full fetches even if the hash matches; 0: none
    dial: Duration = SECOND
    silence: Duration = 2 * SECOND  # idle timeout of a response
    whole: Duration = 10 * SECOND  # timeout of a whole response
    number_key: Name = "exchange"
    district_key: Name = "district"
    started_key: Name = "started"
    loss_share: Share = 0.5
    loss_least: Annotated[int, Meta(ge=0, le=1000, description="0 to 1000")] = 2
    hold: Duration = 90 * SECOND
    answer: Annotated[int, Meta(ge=4096, le=2**30, description="4096 to 2**30 bytes")] = 64 << 20
    instances: Count = 100_000
    tls: Tls | None = None
    lease: Lease | None = None


class Sizing(StrictStruct, frozen=True, kw_only=True):
    """Measuring the trunk groups.  A target is the share of first attempts that may find no circuit."""

    store: Annotated[str, Meta(min_length=1, description="a file for the measurements")]
    period: Duration = 60 * SECOND
    redial_window: Duration = 60 * SECOND  # a call to a number refused within this time is a redial
    target: Annotated[float, Meta(gt=0, lt=1, description="above 0, below 1")] = 0.01
    targets: dict[str, Annotated[float, Meta(gt=0, lt=1, description="above 0, below 1")]] = {}  # by class
    module: Annotated[int, Meta(ge=1, le=1000, description="1 to 1000")] = 1  # group size step, circuits
    price: Worth = 1.0  # of one circuit


class Caller(StrictStruct, frozen=True, kw_only=True):
    """A party that may set up calls: from these networks without TLS, or with a certificate of `identity`."""

    name: Name
    networks: list[Network] = []
    identity: Domain = ""
    marks: bool = True  # whether its marks `redialled` and `cut` are honoured
    advice: bool = False  # whether it may propose the tandem of a call
    classes: list[Name] = []  # classes that it may use; empty: all


def loopback_callers() -> list[Caller]:
    return [Caller(name="own", networks=["127.0.0.0/8", "::1/128"])]


class SipTls(StrictStruct, frozen=True, kw_only=True):
    """Mutual TLS on the SIP links; files in PEM, loaded again when they change and at SIGHUP."""

    listen: Address  # in addition to `listen`, which is without TLS
    ca: Annotated[str, Meta(min_length=1, description="a file of CA certificates")]
    cert: Annotated[str, Meta(min_length=1, description="a file with our certificate")]
    key: Annotated[str, Meta(min_length=1, description="a file with our key, readable by its owner only")]
    crl: str = ""  # revocation list of the CA
    handshake: Duration = 5 * SECOND  # timeout of a handshake
    slack: DurationOrZero = 60 * SECOND  # tolerated clock difference
    look: Duration = 5 * SECOND  # interval of checks of files, validity periods and revocations


class Trust(StrictStruct, frozen=True, kw_only=True):
    """Which callers and exchanges are accepted, and how they are identified."""

    # By default only callers on this host are accepted.
    callers: list[Caller] = msgspec.field(default_factory=loopback_callers)
    plain_exchanges: bool = True  # an exchange may be identified by its source address; False: only by TLS
    tls: SipTls | None = None
    moves: bool = True  # the list of exchanges may change their addresses (links without TLS)


class Timers(StrictStruct, frozen=True, kw_only=True):
    """The base times of RFC 3261 section 17.1.1.1, and the granularity of all timers."""

    t1: Duration = 500 * MS
    t2: Duration = 4 * SECOND
    t4: Duration = 5 * SECOND
    tick: Duration = 5 * MS  # due times are rounded up to multiples of it, so that timers run in batches


class SourceLimits(StrictStruct, frozen=True, kw_only=True):
    """Limits per source: an address on a link without TLS, the authenticated name on one with TLS.

    `reserved` is the share of all connections (`Limits.connections`) that only exchanges may use.
    """

    connections: Count = 1000
    silent: Count = 200  # connections that have not sent a complete message yet
    messages: Count = 4000  # per second, burst of twice as many; an unknown source gets a sixteenth
    faults: Count = 50  # malformed messages before its idle connections are closed
    calls: Count = 20_000  # at the same time, in set-up or standing
    reserved: Annotated[float, Meta(ge=0, lt=1, description="0 to below 1")] = 0.25


class Limits(StrictStruct, frozen=True, kw_only=True):
    """Limits on messages, connections and calls; sizes in bytes."""

    connections: Count = 20_000
    first_message: Duration = (
        30 * SECOND
    )  # an inbound connection without a complete message by then is closed
    line: Annotated[int, Meta(ge=256, le=65536, description="256 to 65536")] = 4096
    head: Annotated[int, Meta(ge=1024, le=262144, description="1024 to 262144")] = 16384
    headers: Annotated[int, Meta(ge=16, le=1024, description="16 to 1024")] = 96
    body: Annotated[int, Meta(ge=0, le=1_048_576, description="0 to 1048576")] = 65536
    calls: Count = 100_000
    unsent: Annotated[int, Meta(ge=4096, le=2**30, description="4096 to 2**30 bytes")] = 4_194_304
    dial: Duration = 500 * MS
    redial: Duration = 200 * MS
    source: SourceLimits = SourceLimits()
    drain: DurationOrZero = 30 * SECOND  # how long a stopping server waits for standing calls


class ServerSettings(StrictStruct, frozen=True, kw_only=True):
    """All settings of one call server."""

    number: Number
    listen: Address
    context: Name
    classes: Annotated[list[CallClass], Meta(min_length=1, description="one class at least")]
    peers: list[Peer]
    dial_plan: Annotated[list[Route], Meta(min_length=1, description="one route at least")]
    name: Name = "eiderstep"
    udp: bool = False  # serve UDP in addition to TCP, on the same port
    udp_peers: bool = False  # reach the peers over UDP; the loss of one then shows only by missing answers
    lines: Address | None = None  # the subscribers of this exchange; None: calls to its own number get a 404
    class_header: Name = "Eiderstep-Class"
    default_class: str = ""
    controllers: Count = 1
    ordinal: Number = 0
    rules: Rules = Rules()
    register: Register | None = None
    registry: Registry | None = None
    list_from: Annotated[str, Meta(pattern="^(register|registry)$", description="register or registry")] = (
        "register"  # the main source if both are given; the other is the fallback
    )
    fallback_after: Duration = 5 * SECOND  # how long the main source may fail before the fallback is used
    sizing: Sizing | None = None
    trust: Trust = Trust()
    timers: Timers = Timers()
    limits: Limits = Limits()
    seed: Annotated[int, Meta(ge=0, le=2**62, description="0 to 2**62")] = 0

    def configured_offices(self) -> tuple[io.OfficeEntry, ...]:
        """The exchanges given in the settings, used until the first list arrives."""
        return tuple(io.OfficeEntry(p.address, p.number, io.OfficeState.UP, 0, p.zone) for p in self.peers)

    def decision_settings(self) -> io.Settings:
        """The settings of the decision module."""
        rules = self.rules
        return io.Settings(
            classes=tuple(
                io.CallClass(c.worth, c.width, c.aim, c.give_up, c.mean_hold, c.late_share)
                for c in self.classes
            ),
            own_number=self.number,
            controllers=self.controllers,
            ordinal=self.ordinal,
            attempt_cap=rules.attempts,
            may_probe=rules.probes,
            may_cancel=rules.cancels,
            may_pause=rules.pauses,
            max_pause=rules.longest_pause,
            list_on_request=self.register is not None and self.register.on_request,
            answer_slack=rules.answer_margin,
            drain_grace=rules.drain_grace,
            cold_multiple=rules.cold.multiple,
            cold_window=rules.cold.window,
            cold_share=rules.cold.share,
            cold_time=rules.cold.time,
            release_wait=rules.release_wait,
            retransmit_interval=self.timers.t1 if self.udp else 0,
            redials_marked=rules.redials_marked,
        )


def cross_check(settings: ServerSettings) -> tuple[str, str] | None:
    """Check fields against each other.  Returns path and error of the first invalid field, else None."""
    seen: dict[int, int] = {}
    for i, peer in enumerate(settings.peers):
        if peer.number == settings.number:
            return f"$.peers[{i}].number", f"found {peer.number}, this exchange; allowed: another"
        if peer.number in seen:
            return f"$.peers[{i}].number", f"found {peer.number} again; allowed: each exchange once"
        seen[peer.number] = i
    names = [c.name for c in settings.classes]
    for i, name in enumerate(names):
        if name in names[:i]:
            return f"$.classes[{i}].name", f"found {name!r} again; allowed: each name once"
    if settings.default_class and settings.default_class not in names:
        return "$.default_class", f"found {settings.default_class!r}; allowed: one of {', '.join(names)}"
    known = {settings.number, *seen}
    prefixes: set[str] = set()
    for i, route in enumerate(settings.dial_plan):
        if route.exchange not in known:
            return f"$.dial_plan[{i}].exchange", f"found {route.exchange}; allowed: one of {sorted(known)}"
        if route.prefix in prefixes:
            return f"$.dial_plan[{i}].prefix", f"found {route.prefix!r} again; allowed: each prefix once"
        prefixes.add(route.prefix)
    if settings.ordinal >= settings.controllers:
        return "$.ordinal", f"found {settings.ordinal}; allowed: below controllers, {settings.controllers}"
    for name in settings.sizing.targets if settings.sizing is not None else ():
        if name not in names:
            return "$.sizing.targets", f"found class {name!r}; allowed: {', '.join(names)}"
    for i, caller in enumerate(settings.trust.callers):
        for text in caller.networks:
            try:
                ip_network(text, strict=False)
            except ValueError:
                return f"$.trust.callers[{i}].networks", f"found {text!r}; allowed: address/bits"
        for name in caller.classes:
            if name not in names:
                return f"$.trust.callers[{i}].classes", f"found {name!r}; allowed: {', '.join(names)}"
    registry = settings.registry
    if registry is not None:
        if len(set(registry.addresses)) < len(registry.addresses):
            return "$.registry.addresses", "found an address twice; allowed: each once"
        if registry.ask == "vip" and not registry.vip:
            return "$.registry.vip", "found ''; allowed: the vip address to ask for, as ask is 'vip'"
        if registry.silence > registry.whole:
            found = f"found {registry.silence} ns"
            return "$.registry.silence", f"{found}; allowed: up to whole, {registry.whole} ns"
        if registry.tls is not None and bool(registry.tls.cert) != bool(registry.tls.key):
            return "$.registry.tls", "found one of cert and key; allowed: both or neither"
        if registry.lease is not None and registry.lease.duration <= registry.lease.renew:
            found = f"found {registry.lease.duration} s"
            return "$.registry.lease.duration", f"{found}; allowed: above renew, {registry.lease.renew} s"
    shortest_give_up = min(c.give_up for c in settings.classes)
    if settings.rules.answer_margin >= shortest_give_up:
        return (
            "$.rules.answer_margin",
            f"found {settings.rules.answer_margin} ns; allowed: below each give_up, {shortest_give_up} ns",
        )
    return None
