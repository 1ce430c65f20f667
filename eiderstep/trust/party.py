"""Who is at the other end: by the key it proved, or on a plain link by the address that the settings name.

Nothing that a message says of its sender counts here.  `Book` holds what the settings and the list of
exchanges name and is asked once for each new connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from eiderstep.config.schema import Caller, ServerSettings
from eiderstep.sip.message import split_address

HOSTS = 1024  # addresses of which it is remembered whether a network holds them


@dataclass(frozen=True, slots=True)
class Party:
    """One far end.

    `exchanges`: the numbers it may speak for; more than one only where a plain network has several exchanges
    at one address, until the first trunk group that it names settles which it is.  `caller`: the entry of the
    settings by which it may ask for calls of its own, None where it may not.  `source`: whose limits it
    draws on.  `proven`: by a key, and not by an address alone.
    """

    exchanges: frozenset[int] = frozenset()
    caller: Caller | None = None
    source: str = ""
    proven: bool = False

    @property
    def known(self) -> bool:
        return bool(self.exchanges) or self.caller is not None

    @property
    def exchange(self) -> int:
        """The one exchange that it is; -1 for a caller, for nobody, and while it may be one of several."""
        return next(iter(self.exchanges)) if len(self.exchanges) == 1 else -1

    def __str__(self) -> str:
        if self.exchanges:
            return "exchange " + " or ".join(map(str, sorted(self.exchanges)))
        return f"caller {self.caller.name}" if self.caller is not None else "nobody"


NOBODY = Party()


def same(one: Party, other: Party) -> bool:
    """Whether two connections surely lead to one and the same exchange.

    Callers are never held to be the same over two connections: many of them share an address, or one key.
    """
    return one.exchange >= 0 and one.exchange == other.exchange


class Book:
    """What the settings and the list of exchanges name: addresses of exchanges, networks of callers, names
    in certificates."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.named: dict[str, set[int]] = {}  # by host, as the settings have it
        self.moved: dict[str, set[int]] = {}  # by host, as the list of exchanges has it
        self.own = Caller(name="lines")  # the far end of `lines`: the exchange's own subscribers
        for peer in settings.peers:
            for host in (split_address(peer.address)[0], *peer.hosts):
                self.named.setdefault(plain_host(host), set()).add(peer.number)
        self.identities = {identity(settings, p.number): p.number for p in settings.peers}
        self.members = {c.identity.lower(): c for c in settings.trust.callers if c.identity}
        self._networks = [
            (ip_network(text, strict=False), caller)
            for caller in settings.trust.callers
            for text in caller.networks
        ]
        self._callers: dict[str, Caller | None] = {}

    def heard(self, listed: dict[str, int]) -> None:
        """The list of exchanges: office addresses and their numbers.

        Danger: an exchange that moved would be a stranger at its new address until the settings are written
        anew.  Who writes the register can so name an address an exchange's; it can send all our set-ups there
        anyway.  Hurts on a plain network whose register is less trusted than its addresses: there give
        `moves=False`, or keys, with which an address counts for nothing.
        """
        self.moved.clear()
        if self.settings.trust.moves:
            for office, number in listed.items():
                self.moved.setdefault(plain_host(split_address(office)[0]), set()).add(number)

    def at(self, host: str) -> Party:
        """Who connects from an address, over a plain link."""
        host = plain_host(host)
        exchanges: frozenset[int] = frozenset()
        if self.settings.trust.plain_exchanges:
            exchanges = frozenset(self.named.get(host, set()) | self.moved.get(host, set()))
        return Party(exchanges, self._caller(host), host)

    def expects(self, host: str) -> bool:
        """Whether an exchange is known to be at an address, whatever it has to prove yet."""
        host = plain_host(host)
        return host in self.named or host in self.moved

    def by_key(self, names: tuple[str, ...], host: str) -> Party:
        """Who has proven these names with a key (RFC 5922); its address counts for nothing."""
        exchanges, caller = set[int](), None
        for name in names:
            number = self.identities.get(name.lower())
            if number is not None:
                exchanges.add(number)
            caller = caller or self.members.get(name.lower())
        source = ",".join(sorted(n.lower() for n in names))[:128] if exchanges or caller else host
        return Party(frozenset(exchanges), caller, source, True)

    def _caller(self, host: str) -> Caller | None:
        if host not in self._callers:
            if len(self._callers) >= HOSTS:  # a stranger with many addresses must not fill our memory
                self._callers.clear()
            self._callers[host] = next((c for net, c in self._networks if within(host, net)), None)
        return self._callers[host]


def identity(settings: ServerSettings, number: int) -> str:
    """The name that an exchange proves with its key: a SIP domain (RFC 5922 section 7.1)."""
    own = next((p.identity for p in settings.peers if p.number == number), "")
    return (own or f"x{number}.{settings.context}").lower()


def plain_host(host: str) -> str:
    """An IPv4 address that a dual-stack socket shows as IPv6 is the IPv4 address."""
    return host.removeprefix("::ffff:") if "." in host else host


def within(host: str, network: IPv4Network | IPv6Network) -> bool:
    try:
        address = ip_address(host)
    except ValueError:
        return False
    return address.version == network.version and address in network
