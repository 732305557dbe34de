Feature: bundle

  Scenario: a bundle is rebuilt from its sections and from a difference
    Then every generated bundle equals the one that its sections give
    And the difference of every generated pair of bundles turns one into the other

  Scenario Outline: an invalid bundle is rejected
    When the bundle option "<section>" "<key>" is set to "<value>"
    Then the bundle is rejected with an error that names "<section>" and "<text>"

    Examples:
      | section   | key         | value          | text                |
      | bundle    | seats       |                | not a name          |
      | bundle    | seats       | e1, e1         | a name is repeated  |
      | bundle    | version     | 0              | int from 1          |
      | bundle    | colour      | red            | unknown key         |
      | service s | pool        | nowhere        | no such pool        |
      | service s | min_serving | 9              | up to 4             |
      | service s | retry       | always         | safe, all, none     |
      | service s | path        | no/slash       | not a path          |
      | vm a1     | address     | host:80        | ip:port             |
      | vm a3     | address     | 127.0.0.1:9002 | also the address of |
      | wave w    | pools       | nowhere        | no such pool        |
      | wave w    | zones       | moon           | no VM in this zone  |
      | lorry x   | wheels      | 4              | unknown section     |
