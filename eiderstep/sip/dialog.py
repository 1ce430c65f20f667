"""SIP dialogs (RFC 3261 section 12), and the ACK and CANCEL that belong to an INVITE."""

from __future__ import annotations

from eiderstep.sip.message import Message, address_uri, request

DialogId = tuple[str, str, str]  # Call-ID, local tag, remote tag


class Dialog:
    """One dialog.  `local` and `remote` are complete values of From and To headers with their tags."""

    __slots__ = ("call_id", "cseq", "flow", "local", "remote", "remote_cseq", "target")

    def __init__(
        self,
        call_id: str,
        local: str,
        remote: str,
        target: str,
        flow: int,
        cseq: int = 1,
        remote_cseq: int = 0,
    ) -> None:
        self.call_id, self.local, self.remote, self.target = call_id, local, remote, target
        self.flow, self.cseq, self.remote_cseq = flow, cseq, remote_cseq

    @classmethod
    def for_uas(cls, invite: Message, answer: Message, flow: int) -> Dialog:
        """The UAS side: the dialog of an INVITE received, created by our response (section 12.1.1)."""
        target = address_uri(invite.get("contact")) or address_uri(invite.get("from"))
        return cls(invite.call_id, answer.get("to"), invite.get("from"), target, flow, 0, invite.cseq)

    @classmethod
    def for_uac(cls, invite: Message, answer: Message, flow: int) -> Dialog:
        """The UAC side: the dialog of an INVITE sent and the 2xx received (section 12.1.2)."""
        target = address_uri(answer.get("contact")) or invite.uri
        return cls(invite.call_id, invite.get("from"), answer.get("to"), target, flow, invite.cseq)

    def request(self, method: str, via: str) -> Message:
        """The next request within the dialog (section 12.2.1.1)."""
        self.cseq += 1
        return request(
            method,
            self.target,
            via=via,
            sender=self.local,
            to=self.remote,
            call_id=self.call_id,
            cseq=self.cseq,
        )

    def accept_request(self, message: Message) -> bool:
        """Check and record a request's CSeq; except for an ACK it must rise within the dialog (12.2.2)."""
        if message.cseq <= self.remote_cseq and message.method != "ACK":
            return False
        self.remote_cseq = max(self.remote_cseq, message.cseq)
        return True


def make_ack(invite: Message, answer: Message, via: str) -> Message:
    """The ACK of a 2xx (section 13.2.2.4): a separate request, to the Contact of the 2xx."""
    target = address_uri(answer.get("contact")) or invite.uri
    ack = request(
        "ACK", target, via=via, sender=invite.get("from"), to=answer.get("to"), call_id=invite.call_id,
        cseq=invite.cseq,
    )  # fmt: skip
    return ack


def make_cancel(invite: Message) -> Message:
    """The CANCEL of an INVITE (section 9.1), with its URI, Via, From, To, Call-ID and CSeq number."""
    return Message("CANCEL", invite.uri, 0, "", {
        "via": invite.headers["via"][:1], "max-forwards": ["70"], "from": [invite.get("from")],
        "to": [invite.get("to")], "call-id": [invite.call_id], "cseq": [f"{invite.cseq} CANCEL"],
    })  # fmt: skip
