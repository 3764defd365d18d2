"""The router process: I/O around the pure decision logic of other packages."""
