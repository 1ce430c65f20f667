"""The world of a day with the operations of a script: conditions, outages, frozen hosts, resized groups."""

from __future__ import annotations

import contextlib
from functools import partial

import msgspec

from eiderstep.audit import Stall
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.emulator.conditions import Condition
from eiderstep.lab.process import ProcessServer
from eiderstep.lab.script import SECOND
from eiderstep.lab.world import World, exchange_host
from eiderstep.server.call_server import CallServer
from eiderstep.sip.fields import group_name
from eiderstep.standin.exchange import lost_circuits, notify_blocked
from eiderstep.standin.proxy import Proxy
from eiderstep.standin.register import Entry
from eiderstep.standin.stranger import Victim

VICTIMS_REFRESH_SECONDS = 0.5  # age at which the strangers' list of standing calls is built anew


class EmulatedWorld(World):
    """The world of a day, with operations that inject faults and change it."""

    def victims(self, number: int) -> list[Victim]:
        """Standing calls of a call server, with all that their callers and far ends know about them.

        The list is up to `VICTIMS_REFRESH_SECONDS` old.
        """
        now, (built_at, victims) = self.loop.time(), self.victims_cache.get(number, (-1.0, []))
        if now - built_at < VICTIMS_REFRESH_SECONDS:
            return victims
        legs = {
            leg.invite.get("session-id"): (exchange, leg)
            for exchange in self.exchanges.values()
            for leg in exchange.standing_legs()
            if leg.neighbour == number
        }
        found: list[Victim] = []
        for call in self.sites[number].callers.standing_attempts.values():
            exchange, leg = legs.get(call.invite.get("session-id"), (None, None))
            if exchange and leg and leg.dialog and call.dialog:
                far = exchange.config.number
                found.append(
                    Victim(
                        call.invite, call.dialog.remote, leg.invite, leg.dialog.local,
                        group_name(number, far), call.intent.number, call.intent.call_class.name,
                        self.day.name,
                        exchange_host(far),
                    )
                )  # fmt: skip
        self.victims_cache[number] = (now, found)
        return found

    def proxies_of(self, number: int) -> list[Proxy]:
        """The proxies between call servers and an exchange."""
        return [proxy for pair, proxy in self.proxies.items() if number in pair]

    def announce_state(self, number: int, state: str, started: float | None = None) -> None:
        """Report a change of an exchange's state to the registers and registries."""
        if state == "up":
            self._end_unavailability(number)
        else:
            self.unavailable_since.setdefault(number, int(self.loop.time() * SECOND))
        for site in self.sites.values():
            if site.number != number:
                address = self.proxies[site.number, number].address
                zone = number % self.day.fleet.districts
                for exchange_list in site.lists:
                    exchange_list.update_exchange(Entry(address, number, state, started, zone))

    def begin_condition(self, number: int, kind: str, value: float = 1.0) -> Condition:
        """Add a condition to an exchange and apply it."""
        condition = self.conditions.begin(number, kind, value)
        self.apply_conditions(number)
        return condition

    def end_condition(self, condition: Condition) -> None:
        self.conditions.end(condition)
        self.apply_conditions(condition.number)

    def begin_timed_condition(self, number: int, kind: str, value: float, seconds: float) -> None:
        """Add a condition to an exchange and remove it after a time."""
        condition = self.begin_condition(number, kind, value)
        self.loop.call_later(seconds, self.end_condition, condition)

    def apply_conditions(self, number: int) -> None:
        """Set an exchange and the links to it to the combined values of its conditions.  Idempotent."""
        value_of, exchange = partial(self.conditions.combined_value, number), self.exchanges[number]
        faults, lines = exchange.faults, int(value_of("lines"))
        faults.report_delay = value_of("report_late")
        faults.lost_answer_share, faults.split_answer_share = value_of("lose_answers"), value_of("tear")
        faults.line_limits = {self.hot_number(number): lines} if lines else {}
        control = self.control_hosts.get(number)
        for processor in (exchange.processor, control.processor if control is not None else None):
            if processor is not None:
                processor.slow_factor, doubling_time = value_of("slow"), value_of("doubles")
                if doubling_time and processor.ageing is None:
                    processor.ageing = (self.loop.time(), doubling_time)
                elif not doubling_time:
                    processor.ageing = None
        hung, was_hung = bool(value_of("hung")), exchange.processor.hung
        exchange.processor.hung = hung
        if was_hung and not hung:
            exchange.resume()
        faults.mute = bool(value_of("mute"))
        self._apply_link_conditions(number)
        for other in self.servers if number not in self.servers else self.exchanges:
            if other != number:
                share = min(value_of("circuits"), self.conditions.combined_value(other, "circuits"))
                server, far = (number, other) if number in self.servers else (other, number)
                if self.circuit_shares.get((far, server), 1.0) != share and self.has_group(far, server):
                    self.circuit_shares[far, server] = self.circuit_shares[server, far] = share
                    self.set_circuit_share(far, server, share)

    def _apply_link_conditions(self, number: int) -> None:
        """Set the proxies of an exchange, and the losses between its place and those of the others."""
        value_of = self.conditions.combined_value
        for pair, proxy in self.proxies.items():
            if number in pair:
                cut, was_cut = any(value_of(n, "cut") for n in pair), proxy.drop
                proxy.drop, proxy.delay = cut, sum(value_of(n, "delay") for n in pair)
                if was_cut and not cut:
                    proxy.reset()  # bytes may be missing from the streams of its connections
        if isinstance(self.loop, VirtualLoop):
            losses = self.loop.network.loss_shares
            for other in self.exchanges:
                share = 1 - (1 - value_of(number, "loss")) * (1 - value_of(other, "loss"))
                for direction in ((f"x{number}", f"x{other}"), (f"x{other}", f"x{number}")):
                    losses.pop(direction, None)
                    if share and other != number:
                        losses[direction] = share

    def freeze_exchange(self, number: int, seconds: float) -> None:
        """Freeze the process of an exchange for a time; its connections stay open."""
        if isinstance(self.loop, VirtualLoop):
            self.hosts[number].pause(seconds)
            if number in self.control_hosts:
                self.stall_server(number, seconds)
        else:
            self.begin_timed_condition(number, "mute", 1.0, seconds)
            self.begin_timed_condition(number, "hung", 1.0, seconds)

    def stall_server(self, number: int, seconds: float) -> bool:
        """Stop the call server of an exchange for a time, and note that its answers are due only afterwards.

        Returns False, without stopping it, if it runs over sockets in the lab's own process; then the caller
        has to block the whole process.
        """
        server, control = self.sites[number].server, self.control_hosts.get(number)
        separate = control is not None or isinstance(server, ProcessServer)
        now = int(self.loop.time() * SECOND)
        margin = self.day.rules.answer_margin  # time in which the loop processes its backlog afterwards
        node = self.server_name(number) if separate else ""
        self.stalls.append(Stall(now, now + int(seconds * SECOND) + margin, node))
        if isinstance(server, ProcessServer):
            server.pause(seconds)
        elif control is not None:
            control.pause(seconds)
        return separate

    def begin_outage(self, number: int) -> Condition:
        """Kill an exchange unless it is down already; it stays down until all its outages have ended."""
        was_down = self.conditions.is_active(number, "down")
        condition = self.conditions.begin(number, "down")
        if not was_down:
            self.kill_exchange(number)
        return condition

    async def end_outage(self, condition: Condition) -> bool:
        """End one outage of an exchange, and restart it if that was the last; returns whether it was."""
        self.conditions.end(condition)
        if self.conditions.is_active(condition.number, "down"):
            return False
        await self.restart_exchange(condition.number)
        return True

    def kill_exchange(self, number: int) -> None:
        """Kill the process of an exchange with all its calls, and its call server if that runs in the lab."""
        self.unavailable_since.setdefault(number, int(self.loop.time() * SECOND))
        for site in self.sites.values():
            for exchange_list in site.lists:
                exchange_list.exchange_died(number)
        self.former_exchanges.append(self.exchanges[number])
        self.exchanges[number].kill()
        own_site = self.sites.get(number)
        server = own_site.server if own_site is not None else None
        if isinstance(server, CallServer):
            now = int(self.loop.time() * SECOND)
            self.capture.add(now, self.server_name(number), "", "", "killed", b"")
            server.kill()
        for pair, proxy in self.proxies.items():
            if pair[1] == number and not isinstance(server, ProcessServer):
                proxy.reset_and_refuse()

    async def restart_exchange(self, number: int) -> None:
        """Start an exchange again, cold, at the same address, and its call server if that runs in the lab."""
        exchange = self.exchanges[number] = await self.start_exchange(number, self.loop.time())
        self.circuit_shares = {
            pair: share for pair, share in self.circuit_shares.items() if number not in pair
        }
        site = self.sites.get(number)
        if site is not None:
            if isinstance(site.server, CallServer):
                self.restarts[number] = self.restarts.get(number, 0) + 1
                site.server = await self.start_server(number, site.lists, self.loop.time())
                site.callers.server_address = site.server.address
                self._redirect_proxies(number, site.server.address)
                self.set_place(number)
                await site.callers.connect()
            self.apply_conditions(number)
            return
        self._redirect_proxies(number, exchange.address)
        await self.connect_standin(number)
        for other, neighbour in self.exchanges.items():
            if other not in self.servers and other != number:
                old_address = neighbour.neighbour_addresses.get(number)
                neighbour.neighbour_addresses[number] = exchange.address
                if old_address != exchange.address:
                    with self.sockets_at(other):
                        neighbour._keep_connected(exchange.address)
        self.apply_conditions(number)

    def _redirect_proxies(self, number: int, address: str) -> None:
        """Let the proxies toward an exchange connect to its new process."""
        for pair, proxy in self.proxies.items():
            if pair[1] == number:
                proxy.target = address
                proxy.stop_refusing()

    def resize_group(self, number: int, server: int, circuits: int) -> None:
        """Change the size of the group between a stand-in and a call server, at both ends."""
        self.exchanges[number].trunk_groups[server].resize(circuits)
        call_server = self.sites[server].server
        assert isinstance(call_server, CallServer)
        sizes = {p.number: circuits if p.number == number else p.circuits for p in call_server.settings.peers}
        peers = [msgspec.structs.replace(p, circuits=sizes[p.number]) for p in call_server.settings.peers]
        call_server.resize_groups(msgspec.structs.replace(call_server.settings, peers=peers))

    def set_circuit_share(self, number: int, server: int, share: float) -> None:
        """Leave this share of the circuits in service in the group of an exchange and a call server."""
        if number not in self.servers:
            self.exchanges[number].block_circuits(server, share)
            return
        lost = lost_circuits(self.group_size(number, server), share)
        for one, other in ((number, server), (server, number)):  # both ends are call servers
            self.loop.create_task(self._report_blocked(one, other, lost))

    async def _report_blocked(self, server: int, far: int, lost: list[int]) -> None:
        """Report blocked circuits to a call server, from the address of the far exchange."""
        far_exchange, address = self.exchanges[far], self.sites[server].server.address
        with contextlib.suppress(OSError):
            if address not in far_exchange.flow_by_address:
                await far_exchange.dial(address)
            notify_blocked(far_exchange, address, (server, far), self.day.name, lost)
