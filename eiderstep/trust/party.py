"""Identification of remote peers: by certificate over TLS, by configured address on plain links.

What a message says about its sender is not used.  `PartyDirectory` holds the addresses and identities
from the settings and the list of exchanges, and is consulted once for each new connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from eiderstep.config.schema import Caller, ServerSettings
from eiderstep.sip.message import split_address

CALLER_CACHE_SIZE = 1024  # addresses with a cached result of the search through the callers' networks


@dataclass(frozen=True, slots=True)
class Party:
    """A remote peer.

    `exchanges`: the exchange numbers it may act for.  There is more than one only where several exchanges
    share an address on a plain network, until the first trunk group that the peer names decides which of them
    it is.  `caller`: the entry of the settings that allows it to originate calls, or None.  `source`: the key
    of its limits.  `authenticated`: identified by a certificate, not by its address alone.
    """

    exchanges: frozenset[int] = frozenset()
    caller: Caller | None = None
    source: str = ""
    authenticated: bool = False

    @property
    def known(self) -> bool:
        return bool(self.exchanges) or self.caller is not None

    @property
    def exchange(self) -> int:
        """Its exchange number; -1 for a caller or unknown peer, or while it may be one of several."""
        return next(iter(self.exchanges)) if len(self.exchanges) == 1 else -1

    def __str__(self) -> str:
        if self.exchanges:
            return "exchange " + " or ".join(map(str, sorted(self.exchanges)))
        return f"caller {self.caller.name}" if self.caller is not None else "nobody"


UNKNOWN_PARTY = Party()


def same_exchange(one: Party, other: Party) -> bool:
    """Whether two peers are certain to be the same exchange.

    Never true for callers, since many of them may share an address or a key.
    """
    return one.exchange >= 0 and one.exchange == other.exchange


class PartyDirectory:
    """Addresses of exchanges, networks of callers and names in certificates, by settings and list."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.configured_hosts: dict[str, set[int]] = {}  # host: exchanges, from the settings
        self.listed_hosts: dict[str, set[int]] = {}  # host: exchanges, from the list
        self.own_lines = Caller(name="lines")  # the peer at `lines`: our own subscriber lines
        for peer in settings.peers:
            for host in (split_address(peer.address)[0], *peer.hosts):
                self.configured_hosts.setdefault(canonical_host(host), set()).add(peer.number)
        self.exchange_by_identity = {exchange_identity(settings, p.number): p.number for p in settings.peers}
        self.caller_by_identity = {c.identity.lower(): c for c in settings.trust.callers if c.identity}
        self._networks = [
            (ip_network(text, strict=False), caller)
            for caller in settings.trust.callers
            for text in caller.networks
        ]
        self._caller_cache: dict[str, Caller | None] = {}

    def update_listed_hosts(self, listed: dict[str, int]) -> None:
        """Take addresses of exchanges from the list: office addresses and their exchange numbers.

        Without them, an exchange that moved would be unknown at its new address until the settings change.
        The cost: whoever controls the register can make an address count as an exchange's, but it could also
        direct all our set-ups there.  On a plain network whose register is trusted less than its addresses,
        set `moves=False`, or use TLS, where addresses do not identify peers.
        """
        self.listed_hosts.clear()
        if self.settings.trust.moves:
            for office, number in listed.items():
                self.listed_hosts.setdefault(canonical_host(split_address(office)[0]), set()).add(number)

    def by_address(self, host: str) -> Party:
        """The peer at an address on a plain link."""
        host = canonical_host(host)
        exchanges: frozenset[int] = frozenset()
        if self.settings.trust.plain_exchanges:
            exchanges = frozenset(self.configured_hosts.get(host, set()) | self.listed_hosts.get(host, set()))
        return Party(exchanges, self._caller(host), host)

    def is_exchange_address(self, host: str) -> bool:
        """Whether the settings or the list have an exchange at this address, authenticated or not."""
        host = canonical_host(host)
        return host in self.configured_hosts or host in self.listed_hosts

    def by_identity(self, names: tuple[str, ...], host: str) -> Party:
        """The peer whose certificate has these names (RFC 5922); `host` only serves as source if unknown."""
        exchanges, caller = set[int](), None
        for name in names:
            number = self.exchange_by_identity.get(name.lower())
            if number is not None:
                exchanges.add(number)
            caller = caller or self.caller_by_identity.get(name.lower())
        source = ",".join(sorted(n.lower() for n in names))[:128] if exchanges or caller else host
        return Party(frozenset(exchanges), caller, source, True)

    def _caller(self, host: str) -> Caller | None:
        if host not in self._caller_cache:
            # Bounds the memory that a client with many addresses can take.
            if len(self._caller_cache) >= CALLER_CACHE_SIZE:
                self._caller_cache.clear()
            self._caller_cache[host] = next((c for net, c in self._networks if in_network(host, net)), None)
        return self._caller_cache[host]


def exchange_identity(settings: ServerSettings, number: int) -> str:
    """The SIP domain in the certificate of an exchange (RFC 5922 section 7.1)."""
    own = next((p.identity for p in settings.peers if p.number == number), "")
    return (own or f"x{number}.{settings.context}").lower()


def canonical_host(host: str) -> str:
    """Converts an IPv4-mapped IPv6 address, as dual-stack sockets report it, to the IPv4 address."""
    return host.removeprefix("::ffff:") if "." in host else host


def in_network(host: str, network: IPv4Network | IPv6Network) -> bool:
    try:
        address = ip_address(host)
    except ValueError:
        return False
    return address.version == network.version and address in network
