"""SIP (RFC 3261) without I/O: messages, a parser, transactions, dialogs and the headers that routing uses."""

from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import BadMessage, Limits, Parser, parse_datagram

__all__ = ["BadMessage", "Limits", "Message", "Parser", "parse_datagram", "request", "response"]
