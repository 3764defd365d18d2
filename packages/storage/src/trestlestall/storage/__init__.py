"""The data folder: log file, snapshots, vote; durable once synced."""
