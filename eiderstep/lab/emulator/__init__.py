"""The emulator: hosts that pause or are busy, troubles that can overlap, scenarios with drawn figures."""
