Feature: retries

  Scenario: retries stay within a tenth of the load
    Then in generated loads retries are at most 10 percent of the requests and 1
    And a burst after a quiet time is at most 10 retries

  Scenario Outline: methods that may be sent twice
    Then under the policy <policy> only <methods> may be sent twice

    Examples:
      | policy | methods                            |
      | safe   | GET HEAD PUT DELETE OPTIONS TRACE  |
      | none   | -                                  |
