Feature: retries

  Scenario: retries are limited to a tenth of the requests
    Then in generated loads retries are at most 1 plus 10 percent of the requests
    And a burst after 10000 requests without retries is at most 10 retries

  Scenario Outline: methods that may be sent twice
    Then under the policy <policy> only <methods> may be sent twice

    Examples:
      | policy | methods                            |
      | safe   | GET HEAD PUT DELETE OPTIONS TRACE  |
      | none   | -                                  |
