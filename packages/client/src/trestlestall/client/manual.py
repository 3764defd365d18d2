"""The manual that ``trestlestall --help`` prints."""

MANUAL = """\
NAME
    trestlestall - the operator's client: declare, query, drain and admit

SYNOPSIS
    trestlestall command TEXT [--number N] [--request-id ID] [--dry-run]
    trestlestall command - | --file FILE [--number N] [--request-id ID] [--dry-run]
    trestlestall query TEXT
    trestlestall explain REQUEST [--logs FILE,FILE...]
    trestlestall lost --logs FILE,FILE... [--by route|second|process]
    trestlestall status
    trestlestall check-settings FILE
    trestlestall --help

DESCRIPTION
    Sends commands and queries to the operators' addresses of any router or control
    process. A TEXT is one argument, so put it in quotes. It is parsed before it is
    sent: an error marks the word at fault, and nothing is sent.

COMMANDS
    command TEXT
        Change the configuration. A dry run shows the outcome without changing it.
    command -, command --file FILE
        Send the commands in standard input or a file, one a line, until one isn't
        accepted. A # at a line's start or after a blank begins a comment. All lines
        are parsed before the first is sent. A dry run checks each line by itself
        against the configuration in force.
    query TEXT
        Run a query, such as: show upstreams where load > 0.8
    explain REQUEST
        Show how a request was routed; its id is in the answer's header
        Trestlestall-Request. With --logs, show it from collected log files without
        calling a server: what each process decided, and how its view of the upstreams
        changed meanwhile.
    lost --logs FILE,FILE...
        Count the forwarded requests that were late, refused or failed, by their cause
        and by route, second or process, from collected log files. Calls no server.
    status
        Show the version in force on each process, the leader, and lagging routers.
    check-settings FILE
        Check a settings file of trestlestalld as trestlestalld does. Calls no server.

FLAGS
    --number N         the version that the command should create; if another command
                       created it first, nothing changes and the exit status is 4. The
                       commands of a file get consecutive numbers from N.
    --request-id ID    repeat a call whose answer was lost: a command that was carried
                       out gets its first answer and isn't carried out again
    --dry-run          change nothing
    --json             print one JSON object a line, for programs
    --settings FILE    client settings; default: ~/.config/trestlestall/client.json
    --servers LIST     addresses IP:PORT, separated by commas, tried in this order
    --key-file FILE    file of mode 0600 that holds your key

FILES
    Client settings are one JSON object; paths are relative to its folder:
        {"servers": ["10.0.0.5:8002", "10.0.1.5:8002"], "key_file": "key",
         "timeout_seconds": 10}

EXIT STATUS
    0    done
    1    rejected; the message says why
    2    the command line or the text is invalid; nothing was sent
    3    the settings are invalid; nothing was sent
    4    beaten: another command created this version first; nothing was changed
    5    no answer; the message says whether the command may have been carried out
    130  interrupted, and nothing was sent

EXAMPLE
    trestlestall command 'declare class alerts tier 3 target 30s at most once floor 2%'
    trestlestall query 'show classes'
"""
