"""The platform's binary messages, a small subset of ISUP: types, parameters, parser.  Performs no I/O."""
