Feature: Decisions about callers' sessions
  The kind of a statement and the phase of the session decide how it is handled.

  Scenario Outline: A statement is planned according to the phase of its session
    # Guards against statements that run in a failed transaction, or outside of the
    # transaction to which they belong.
    Given a session in the phase <phase>
    When the caller sends "<text>"
    Then the plan is <plan> and the phase becomes <after>

    Examples:
      | phase          | text             | plan              | after          |
      | idle           | BEGIN            | StartTransaction  | idle           |
      | idle           | READ a           | RunStatement      | idle           |
      | idle           | COMMIT           | malformed         | idle           |
      | idle           | EXEC unknown a   | nostmt            | idle           |
      | in_transaction | BEGIN            | malformed         | failed         |
      | in_transaction | EXEC unknown a   | nostmt            | failed         |
      | in_transaction | COMMIT           | FinishTransaction | in_transaction |
      | in_transaction | nonsense         | malformed         | failed         |
      | read_only      | WRITE a 1        | readonly          | failed         |
      | failed         | READ a           | malformed         | failed         |
      | failed         | SET a 1          | malformed         | failed         |
      | failed         | COMMIT           | aborted           | idle           |
      | failed         | ROLLBACK         | done              | idle           |

  Scenario Outline: A stopping instance refuses what can't end before it exits
    # Guards against a transaction that begins too late in a stop to end, and against a
    # refusal of what still can.
    Given a session in the phase <phase>
    When the caller sends "<text>" <seconds> s after the stop of 6 s began
    Then the caller is answered with <answer>

    Examples:
      | phase          | text      | seconds | answer  |
      | idle           | BEGIN     | 2.9     | no      |
      | idle           | BEGIN     | 3.0     | busy    |
      | idle           | BEGIN     | 5.0     | busy    |
      | idle           | WRITE a 1 | 4.4     | no      |
      | idle           | WRITE a 1 | 4.5     | busy    |
      | idle           | SET a 1   | 4.5     | no      |
      | in_transaction | READ a    | 4.4     | no      |
      | in_transaction | READ a    | 4.5     | aborted |
      | in_transaction | COMMIT    | 4.4     | no      |
      | in_transaction | COMMIT    | 4.5     | aborted |
      | in_transaction | ROLLBACK  | 4.5     | no      |

  Scenario Outline: A statement that the exit of the process interrupts
    # Guards against a false "not run", and against a read or a transaction whose caller
    # is told that it may have taken effect.
    Given a session in the phase <phase>
    When the process exits while the caller's "<text>" waits
    Then the caller is answered with <answer>

    Examples:
      | phase          | text      | answer  |
      | idle           | BEGIN     | busy    |
      | idle           | READ a    | failed  |
      | idle           | WRITE a 1 | indoubt |
      | in_transaction | READ a    | aborted |
      | in_transaction | WRITE a 1 | aborted |
      | in_transaction | COMMIT    | aborted |
      | has_written    | COMMIT    | indoubt |

  Scenario Outline: A session is told of a stop only between operations
    # Guards against closing a session between two statements of a transaction, and
    # against telling its caller so late that no answer can follow before the exit.
    Given a session in the phase <phase>
    When its caller was active <seconds> s after the stop of 6 s began
    Then the caller is told <notify> s after the stop began

    Examples:
      | phase          | seconds | notify |
      | idle           | 0.5     | 2.3    |
      | idle           | 3.0     | 3.25   |
      | idle           | 4.4     | 4.5    |
      | idle           | 4.6     | 4.6    |
      | in_transaction | 0.5     | 4.5    |
      | in_transaction | 4.7     | 4.7    |
      | failed         | 0.5     | 4.5    |

  Scenario Outline: A session whose caller ignores that it is told ends all the same
    # Guards against a process that stays for a caller that doesn't read while it is idle.
    When its caller is told <notify> s after the stop of 6 s began
    Then the session ends <end> s after the stop began

    Examples:
      | notify | end |
      | 2.3    | 3.3 |
      | 4.5    | 5.1 |

  Scenario Outline: A statement waits for a member only while it can still be answered in time
    # Guards against a wait until the caller's deadline: in the experiment
    # store-away-primary-lost on saltbush, 260 of 6,000 callers timed out while their
    # third attempt waited, without an answer that nothing had run.
    Given a route with a latency target of <target> ms and a timeout of <timeout> ms
    Then a statement waits for a member for at most <wait> ms

    Examples:
      | target | timeout | wait |
      | 120    | 800     | 120  |
      | 200    | 800     | 200  |
      | 800    | 1000    | 450  |

  Scenario Outline: A connection is brought into the state of the session
    # Guards against a statement that runs with another session's values or template.
    Given a connection with the values "<held>" and the templates "<templates>"
    When a session with the values "<own>" executes its template "<template>" on it
    Then the commands before the statement are "<commands>"

    Examples:
      | held    | templates | own     | template | commands                 |
      |         |           |         | r1       | PREPARE                  |
      | a=1     | r1        | a=1     | r1       |                          |
      | a=1     | r1        | a=2     | r1       | SET                      |
      | a=1     | r1        |         | r1       | RESET, PREPARE           |
      | a=1,b=1 |           | a=1,c=1 | r1       | RESET, SET, SET, PREPARE |
      | unknown | r1        | a=1     | r1       | RESET, SET, PREPARE      |

  Scenario Outline: A refusal says whether the write has run
    # Guards against the status "not run" for a write that may have run: the caller
    # would retry the write and apply it twice.
    Given a member answered a <statement> with "<outcome>"
    Then the caller receives <code> and <ran>

    Examples:
      | statement             | outcome          | code    | ran     |
      | write                 | busy             | busy    | not_run |
      | write                 | readonly         | busy    | not_run |
      | write                 | failed           | indoubt | unknown |
      | write                 | timeout          | indoubt | unknown |
      | write                 | no answer        | indoubt | unknown |
      | write                 | lost before sent | busy    | not_run |
      | read                  | no answer        | failed  | ran     |
      | read                  | lagging          | busy    | not_run |
      | transaction statement | failed           | aborted | not_run |
      | transaction statement | no answer        | aborted | not_run |

  Scenario Outline: Keys and routes are checked against a configuration of limited age
    # Guards against accepting a withdrawn key while the store can't be read.
    Given a configuration that was confirmed <age> s ago, of which 15 s are allowed
    When an operation for "<database>" comes with the key "<key>"
    Then its admission is <result>

    Examples:
      | age | database | key | result   |
      | 1   | db1      | k1  | admitted |
      | 1   | db1      | bad | noauth   |
      | 1   | none     | k1  | nodb     |
      | 16  | db1      | k1  | busy     |
      | 1   | open     | bad | admitted |
