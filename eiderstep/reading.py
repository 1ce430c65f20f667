"""Translates settings and load reports from their JSON form into the types of eiderstep/interface.py.

The simulator and the platform send the same objects with the same names, so both use these functions.
"""

from __future__ import annotations

from typing import Any

from eiderstep import interface as io


def read_settings(config: dict[str, Any]) -> io.Settings:
    """Settings from a JSON object; unknown keys are ignored.

    Raises ValueError if the number of widths is not that of classes, and TypeError, ValueError or
    AttributeError if a value has the wrong type.
    """
    family = config.get("family_info") or {}
    caps = config.get("caps") or {}
    obligations = config.get("obligations") or {}
    widths = family.get("widths") or []
    mean_holds = family.get("mean_hold") or []
    class_pools = family.get("class_cells") or []
    pooled = family.get("layout") == "skills"
    raw_classes = config.get("classes") or []
    if widths and len(widths) != len(raw_classes):
        raise ValueError(f"{len(widths)} widths for {len(raw_classes)} classes")
    classes = tuple(
        io.CallClass(
            worth=float(c.get("worth", 1.0)),
            width=int(widths[i]) if widths else 1,
            aim=int(c.get("aim") or c.get("give_up") or 0),
            give_up=int(c.get("give_up") or 0),
            mean_hold=int(mean_holds[i]) if i < len(mean_holds) else 0,
            late_share=float(c.get("late_share") or 0.0),
            pools=tuple(class_pools[i]) if pooled and i < len(class_pools) else None,
        )
        for i, c in enumerate(raw_classes)
    )
    return io.Settings(
        classes=classes,
        own_number=int(family.get("self_no", -1)),
        pooled=pooled,
        controllers=int(config.get("peers_total") or 1),
        ordinal=int(config.get("ordinal") or 0),
        attempt_cap=int(caps.get("send_cap") or 1),
        may_probe=bool(caps.get("may_probe")),
        may_message=bool(caps.get("peers")),
        may_cancel=bool(caps.get("cancel")),
        may_pause=bool(caps.get("retry_after")),
        max_pause=int(caps.get("max_retry_after") or 0),
        list_on_request=config.get("discovery") == "on_request",
        ask_every=int(obligations.get("ask_every") or 0),
        answer_slack=int(obligations.get("answer_slack") or 0),
        drain_grace=int(obligations.get("stop_sending_within") or 0),
        cold_multiple=float(obligations.get("fall_multiple") or 1.0),
        cold_window=int(obligations.get("tip_after") or 0),
        cold_share=float(obligations.get("cold_share") or 1.0),
        cold_time=int(obligations.get("cold") or 0),
        release_wait=int(family.get("release") or 0),
        retransmit_interval=int(family.get("retransmit") or 0),
        redials_marked=bool((config.get("callers") or {}).get("marks_retry")),
    )


def read_report(raw: Any) -> io.LoadReport:
    """A load report from a JSON object; figures that are absent or negative become None.

    Raises TypeError if a figure is not a number.
    """
    if not isinstance(raw, dict):
        return io.LoadReport()

    def number(name: str) -> float | None:
        value = raw.get(name)
        return None if value is None or value < 0 else float(value)

    def integer(name: str, scale: int = 1) -> int | None:
        value = number(name)
        return None if value is None else int(value * scale)

    return io.LoadReport(
        free=integer("idle"),
        size=integer("circuits"),
        active=number("active"),
        waiting=number("waiting"),
        cpu_used=number("cpu"),
        wait=integer("avg_ms", 1_000_000),
        max_rate=number("max_rate"),
        reduction=number("reduce"),
    )
