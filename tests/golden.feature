@golden
Feature: golden sessions

  Each session runs a bundle, a wave, failures and recoveries in one process with a
  simulated clock and a fixed seed. Its decisions must equal the approved file.
  `make golden` renews the files under tests/golden.

  Scenario Outline: the decisions of a deployment's session
    When the session of "<deployment>" runs with seed <seed>
    Then its decision log equals the approved one

    Examples:
      | deployment  | seed |
      | agence      | 7    |
      | heidavollur | 11   |
