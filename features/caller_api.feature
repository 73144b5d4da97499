Feature: Caller API
  Invalid input gets a typed error, which states whether the request ran.

  Scenario Outline: A malformed request is refused before it runs
    # Guards against malformed input reaching a database.
    When a caller sends <method> <target> with headers "<headers>" and body '<body>'
    Then the request is refused with the code <code> and the status not_run

    Examples:
      | method | target                      | headers            | body         | code              |
      | GET    | /v1/unknown                 |                    |              | unknown_route     |
      | POST   | /v1/databases/swap1/read    |                    | {            | malformed_request |
      | POST   | /v1/databases/swap1/read    |                    | {"sql": 1}   | malformed_request |
      | POST   | /v1/databases/swap1/read    | deadline-ms=0      | {"sql": "x"} | malformed_request |
      | POST   | /v1/databases/swap1/read    | deadline-ms=60001  | {"sql": "x"} | malformed_request |
      | POST   | /v1/databases/swap1/read    | max-staleness-ms=x | {"sql": "x"} | malformed_request |
      | POST   | /v1/databases/swap1/write   |                    | {"statements": []} | malformed_request |
      | POST   | /v1/databases/swap1/read    |                    | {"sql": "x", "params": []} | malformed_request |
      | POST   | /v1/databases/swap1/write   |                    | {"statements": [{"sql": "x", "page": 1}]} | malformed_request |
