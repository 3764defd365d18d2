"""The data folder: durable storage of a voter's log, snapshot and vote."""
