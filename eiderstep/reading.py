"""Settings and load reports as the users' programs write them, in the module's own terms.

One reading for the simulator's wire and for the platform's: both hold the same object under the same names.
"""

from __future__ import annotations

from typing import Any

from eiderstep import interface as io


def read_settings(config: dict[str, Any]) -> io.Settings:
    """Settings of the wire in the module's own terms; unknown keys are passed over."""
    family = config.get("family_info") or {}
    caps = config.get("caps") or {}
    rules = config.get("obligations") or {}
    widths = family.get("widths") or []
    holds = family.get("mean_hold") or []
    cells = family.get("class_cells") or []
    pooled = family.get("layout") == "skills"
    raw = config.get("classes") or []
    if widths and len(widths) != len(raw):
        raise ValueError(f"{len(widths)} widths for {len(raw)} classes")
    classes = tuple(
        io.CallClass(
            worth=float(c.get("worth", 1.0)),
            width=int(widths[i]) if widths else 1,
            aim=int(c.get("aim") or c.get("give_up") or 0),
            give_up=int(c.get("give_up") or 0),
            mean_hold=int(holds[i]) if i < len(holds) else 0,
            late_share=float(c.get("late_share") or 0.0),
            pools=tuple(cells[i]) if pooled and i < len(cells) else None,
        )
        for i, c in enumerate(raw)
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
        ask_every=int(rules.get("ask_every") or 0),
        answer_slack=int(rules.get("answer_slack") or 0),
        drain_grace=int(rules.get("stop_sending_within") or 0),
        cold_multiple=float(rules.get("fall_multiple") or 1.0),
        cold_window=int(rules.get("tip_after") or 0),
        cold_share=float(rules.get("cold_share") or 1.0),
        cold_time=int(rules.get("cold") or 0),
        release_wait=int(family.get("release") or 0),
        resend_after=int(family.get("retransmit") or 0),
        redials_marked=bool((config.get("callers") or {}).get("marks_retry")),
    )


def read_report(raw: Any) -> io.LoadReport:
    """A load report, by name; figures that are absent, negative or unknown are None."""
    if not isinstance(raw, dict):
        return io.LoadReport()

    def figure(name: str) -> float | None:
        value = raw.get(name)
        return None if value is None or value < 0 else float(value)

    def whole(name: str, scale: int = 1) -> int | None:
        value = figure(name)
        return None if value is None else int(value * scale)

    return io.LoadReport(
        free=whole("idle"),
        size=whole("circuits"),
        active=figure("active"),
        waiting=figure("waiting"),
        used=figure("cpu"),
        wait=whole("avg_ms", 1_000_000),
        max_rate=figure("max_rate"),
        reduce=figure("reduce"),
    )
