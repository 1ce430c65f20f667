"""The SIP call engine: turns network input into module events, and module actions into messages."""
