Feature: What arrives from outside never raises
  Bytes, bodies and settings are answered with a value or a typed refusal.

  Scenario Outline: Any input of the <part> gives a value or a typed refusal
    # Guards against input that ends a task and with it the instance.
    Then 300 generated inputs of the <part> raise nothing

    Examples:
      | part            |
      | HTTP server     |
      | caller API      |
      | peer frames     |
      | session token   |
      | admin API       |
      | member protocol |
      | settings        |
      | admission       |
