Feature: HTTP server

  Scenario Outline: an ambiguous or hostile request is refused
    Given a server that answers every request with 200
    When the raw request "<raw>" arrives
    Then the server answers <status> and closes

    Examples:
      | raw                                                                        | status |
      | POST / HTTP/1.1~Host: a~Content-Length: 1~Transfer-Encoding: chunked~~     | 400    |
      | POST / HTTP/1.1~Host: a~Content-Length: 1~Content-Length: 1~~x             | 400    |
      | POST / HTTP/1.1~Host: a~Content-Length: 1~Content-Length: 2~~x             | 400    |
      | POST / HTTP/1.1~Host: a~Content-Length: -1~~                               | 400    |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: x~~  | 400    |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip~~                          | 501    |
      | GET / HTTP/1.1~Host: a~X: 1~ folded~~                                      | 400    |
      | GET / HTTP/1.1~Host: a~X: 1^Y: 2~~                                         | 400    |
      | GET / HTTP/1.1~~                                                           | 400    |
      | CONNECT a:1 HTTP/1.1~Host: a~~                                             | 501    |
      | nonsense~~                                                                 | 400    |
      | POST / HTTP/1.1~Host: a~Content-Length: 99999999~~*2000000                 | 413    |
      | GET / HTTP/1.1~Host: a~X: *20000                                           | 431    |
      | GET / HTTP/1.1~Host: a~[A: b~]*129~                                        | 431    |
      | GET / HTTP/1.1~Host: a~X: [x]*20000~~                                      | 431    |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~[1~x~]*16385           | 413    |

  Scenario: a body that is sent token by token is read
    Guards against a limit on chunks that an ordinary client meets, as JSON encoders write
    a chunk for each token.
    Given a server that answers every request with 200
    When the raw request "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1~[x~1~]*16000x~0~~" arrives
    Then the server answers 200 and stays open

  Scenario: the server keeps working after generated requests
    Given a server that answers every request with 200
    Then generated raw requests are answered or closed and the server keeps working

  Scenario: pipelined requests are answered in order
    Given a server that echoes the path after a delay that becomes shorter
    When the raw request "GET /a HTTP/1.1~Host: a~~GET /b HTTP/1.1~Host: a~~GET /c HTTP/1.1~Host: a~Connection: close~~" arrives
    Then the bodies arrive in the order "/a /b /c"

  Scenario: a client that expects status 100 receives it
    Given a server that answers every request with 200
    When the raw request "POST / HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: 2~~" arrives
    Then the server answers 100 and stays open

  Scenario: a request that is sent too slowly is refused
    Given a server that waits 0.05 s for a complete request
    When the raw request "GET / HTTP/1.1~Host: a~" arrives
    Then the server answers 408 and closes

  Scenario Outline: a response with an unusual status arrives complete
    Given a server that answers <method> with <status>
    When a client sends <method>
    Then the client gets <status> with a body of <size> bytes

    Examples:
      | method | status | size |
      | GET    | 200    | 5    |
      | GET    | 299    | 5    |
      | GET    | 421    | 5    |
      | GET    | 425    | 5    |
      | GET    | 599    | 5    |
      | GET    | 204    | 0    |
      | GET    | 304    | 0    |
      | HEAD   | 200    | 0    |

  Scenario Outline: a client that sends on after the final answer of its connection reads it
    Given a server that answers every request with 200
    When a client sends "<raw>" and 1500000 bytes more before it reads
    Then it can send all of them and reads status <status>

    Examples:
      | raw                                               | status |
      | POST / HTTP/1.1~Host: a~Content-Length: 9999999~~ | 413    |
      | GET / HTTP/1.1~Host: a~Connection: close~~*10     | 200    |

  Scenario: a client that sends on without an end after a refusal is cut off
    Given a server that answers every request with 200
    When a client sends "POST / HTTP/1.1~Host: a~Content-Length: 99999999~~" and 16000000 bytes more before it reads
    Then it cannot send all of them

  Scenario: connections that send nothing do not keep others out
    Given a server with at most 3 connections
    When 5 silent clients connect
    Then another client gets an answer

  Scenario: a request in progress keeps its connection at the limit
    Given a server with at most 1 connection that answers after 0.1 s
    When the raw request "GET / HTTP/1.1~Host: a~~" arrives
    And 2 silent clients connect
    Then the server answers 200 and stays open

  Scenario: an incomplete request is refused with 503 when memory is short
    Given a server with 100000 bytes for requests
    When the raw request "POST / HTTP/1.1~Host: a~Content-Length: 300000~~*200000" arrives
    Then the server answers 503 and closes
    And it said when to try again
    And no memory is counted any more

  Scenario: a request in progress is answered when memory is short
    Given a server with 100000 bytes for requests that answers after 0.1 s
    When the raw request "GET /a HTTP/1.1~Host: a~~*200000" arrives
    Then the server answers 200 and closes
    And no memory is counted any more

  Scenario: the memory of a request counts until it was answered, also without its caller
    Given a server with 100000 bytes for requests that answers after 0.1 s
    When the raw request "POST / HTTP/1.1~Host: a~Content-Length: 5000~~*5000" arrives
    And its client leaves
    Then at least 5000 bytes are counted
    And no memory is counted any more

  Scenario: a client that takes no answers gets no further ones
    Given a server that answers every request with 100000 bytes
    When a client sends 200 requests and reads nothing
    Then the server has not answered them all and holds at most one answer
    And the client gets all answers when it reads

  Scenario: requests of one connection leave no timers behind
    Given a server that answers every request with 200
    When the raw request "[GET / HTTP/1.1~Host: a~~]*300" arrives
    Then 300 answers arrive and the loop has at most 10 timers
