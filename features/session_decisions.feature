Feature: Decisions about callers' sessions
  What is done with a statement follows from its kind and the phase of the session.

  Scenario Outline: A statement is planned by the phase of its session
    # Guards against statements that run in a failed transaction or outside their own.
    Given a session in the phase <phase>
    When it gets "<text>"
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

  Scenario Outline: A statement waits for a member while it can still be in time
    # Guards against a wait up to the caller's deadline: on saltbush
    # store-away-primary-lost 260 of 6,000 callers gave up while their third attempt
    # waited, without an answer that nothing had run.
    Given a route with a latency target of <target> ms and a timeout of <timeout> ms
    Then a statement waits for a member for at most <hold> ms

    Examples:
      | target | timeout | hold |
      | 120    | 800     | 120  |
      | 200    | 800     | 200  |
      | 800    | 1000    | 450  |

  Scenario Outline: A connection is brought into the state of the session
    # Guards against a statement that runs with another session's values or shape.
    Given a connection with the values "<held>" and the shapes "<shapes>"
    When a session with the values "<own>" runs its shape "<shape>" on it
    Then the commands before the statement are "<commands>"

    Examples:
      | held    | shapes | own     | shape | commands           |
      |         |        |         | r1    | PREPARE            |
      | a=1     | r1     | a=1     | r1    |                    |
      | a=1     | r1     | a=2     | r1    | SET                |
      | a=1     | r1     |         | r1    | RESET, PREPARE     |
      | a=1,b=1 |        | a=1,c=1 | r1    | RESET, SET, SET, PREPARE |
      | unknown | r1     | a=1     | r1    | RESET, SET, PREPARE |

  Scenario Outline: A refusal says whether the write has run
    # Guards against "not run" where it may have run, which a caller would repeat.
    Given a member answered a <statement> with "<outcome>"
    Then the caller is told <code> and <ran>

    Examples:
      | statement | outcome          | code    | ran     |
      | write     | busy             | busy    | not_run |
      | write     | readonly         | busy    | not_run |
      | write     | failed           | indoubt | unknown |
      | write     | timeout          | indoubt | unknown |
      | write     | silence          | indoubt | unknown |
      | write     | lost before sent | busy    | not_run |
      | read      | silence          | failed  | ran     |
      | read      | lagging          | busy    | not_run |
      | inside    | failed           | aborted | not_run |
      | inside    | silence          | aborted | not_run |

  Scenario Outline: Keys and routes are checked against a configuration of known age
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
