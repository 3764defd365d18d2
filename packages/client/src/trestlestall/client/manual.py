"""The manual that ``trestlestall --help`` prints."""

MANUAL = """\
NAME
    trestlestall - declare, ask, drain and admit: the operator's client

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
    Speaks to the operators' addresses of any router or control process. A TEXT is one
    argument, so put it in quotes. It is read here first: an error points at the word
    and nothing is sent.

COMMANDS
    command TEXT
        Change the configuration. A dry run says what would come of it.
    command -, command --file FILE
        Send the commands of standard input or a file, one a line, until one isn't
        accepted. A # at a line's start or after a blank begins a comment. All lines
        are read before the first is sent. A dry run checks each line by itself against
        the configuration in force.
    query TEXT
        Ask, for instance: show upstreams where load > 0.8
    explain REQUEST
        Tell how a request was routed; its id stands in the answer's header
        Trestlestall-Request. With --logs, tell it out of collected log files, without
        asking a server: what each process decided, and what it believed meanwhile.
    lost --logs FILE,FILE...
        Count the forwarded requests that were late, refused or failed, by their cause
        and by route, second or process, out of collected log files. Asks no server.
    status
        Show which version is in force where, who leads and who lags.
    check-settings FILE
        Check a settings file of trestlestalld, as trestlestalld does. Asks no server.

FLAGS
    --number N         the version that the command should become; when another command
                       took it first, nothing changes and the exit status is 4. In a
                       file the numbers count up from N.
    --request-id ID    repeat a call whose answer was lost: a command that was carried
                       out gets its first answer and isn't carried out again
    --dry-run          change nothing
    --json             one JSON object a line, for programs
    --settings FILE    client settings, by default ~/.config/trestlestall/client.json
    --servers LIST     addresses IP:PORT, parted by commas; each is tried in turn
    --key-file FILE    file of mode 0600 that holds your key

FILES
    Client settings are one JSON object; paths are relative to its folder:
        {"servers": ["10.0.0.5:8002", "10.0.1.5:8002"], "key_file": "key",
         "timeout_seconds": 10}

EXIT STATUS
    0    done
    1    rejected: the server says why
    2    the command line or the text is wrong; nothing was sent
    3    the settings are wrong; nothing was sent
    4    beaten: another command took the number; nothing was changed
    5    no answer came; the message says whether the command may have been carried out
    130  interrupted, and nothing was sent

EXAMPLE
    trestlestall command 'declare class alerts tier 3 target 30s at most once floor 2%'
    trestlestall query 'show classes'
"""
