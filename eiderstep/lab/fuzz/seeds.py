"""Seed inputs of the fuzz targets: small valid inputs, and dictionaries with tokens of their formats."""

from __future__ import annotations

from random import Random

from eiderstep.lab.fuzz.harness import EngineHarness
from eiderstep.standin.stranger import ATTACKS, encode_message

JSON_SEED = b"""{"applications":{"versions__delta":"1","apps__hashcode":"UP_1_",
"application":[{"name":"X",
"instance":[{"instanceId":"a","app":"X","ipAddr":"10.0.0.1","port":{"$":5060,"@enabled":"true"},"status":"UP",
"lastDirtyTimestamp":"1","actionType":"ADDED","leaseInfo":{"durationInSecs":90,"lastRenewalTimestamp":1},
"metadata":{"exchange":"1","district":"0","started":"1"}}]}]}}"""
XML_SEED = b"""<applications><versions__delta>1</versions__delta><apps__hashcode>UP_1_</apps__hashcode>
<application><name>X</name><instance>
<instanceId>a</instanceId><app>X</app><ipAddr>10.0.0.1</ipAddr>
<status>UP</status>
<port enabled="true">5060</port>
<metadata><exchange>1</exchange></metadata></instance></application>
</applications>"""
EVENT_SEED = b"""data: {"gen": 1, "kind": "complete", "entries": [{"office": "10.0.0.1:1",
data: "number": 1, "state": "up", "age": 1.5, "zone": 0}]}

:alive

"""
SETTINGS_SEED = b"""number = 0
listen = "127.0.0.1:0"
context = "t"
classes = [call_class(name="a", aim=s(1), give_up=s(9), mean_hold=s(10))]
peers = [peer(number=n, address="127.0.0.1:%d" % (5060 + n), circuits=30) for n in [1, 2]]
dial_plan = [route(prefix="1", exchange=1)]
trust = trust(callers=[caller(name="own", networks=["127.0.0.0/8"])])
"""
DICTIONARIES = {
    "sip": "INVITE sip: SIP/2.0 Via: v: From: To: Call-ID: CSeq: Content-Length: l: branch=z9hG4bK tag= oc=",
    "engine": "INVITE BYE CANCEL ACK NOTIFY Eiderstep-Circuits: 0-65535 tgrp=0-1 trunk-context=t Reason:",
    "eureka-json": '"instance": "application": "status": {} [] "UP" "@enabled" null true 1e309',
    "eureka-xml": "<instance> </instance> <application> <!DOCTYPE <![CDATA[ &lt; &#0; <metadata>",
    "register": 'data: "gen": "entries": "age": "office": -1 1e308 NaN',
    "settings": "range( for in peer( route( call_class( s( ms( lambda def load( % * [ ] { }",
}


def seed_inputs(target: str) -> list[bytes]:
    """Returns the seed inputs of a target."""
    rng = Random(7)
    if target == "sip":
        victim = EngineHarness().victim
        return [
            encode_message(ATTACKS[name].make(victim, number)) for number, name in enumerate(sorted(ATTACKS))
        ]
    if target == "engine":
        attack_count = len(ATTACKS)
        attacks = [
            bytes([sender, 3 * attack_count + attack, 0, 1] * 2)
            for attack in range(attack_count)
            for sender in range(4)
        ]
        return attacks + [bytes([rng.randrange(256) for _ in range(64)]) for _ in range(32)]
    return [
        {"eureka-json": JSON_SEED, "eureka-xml": XML_SEED, "register": EVENT_SEED, "settings": SETTINGS_SEED}[
            target
        ]
    ]


def dictionary_entries(target: str) -> list[str]:
    """Returns the dictionary of a target, with escapes as libFuzzer has them."""
    return DICTIONARIES[target].split()
