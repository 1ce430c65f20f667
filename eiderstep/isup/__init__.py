"""The platform's binary messages, an ISUP in miniature: types, parameters, incremental parser.  Sans-I/O."""
