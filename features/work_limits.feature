Feature: Bounds of frames and turns, decided without I/O
  The verdict on the frames of a connection doesn't depend on how their bytes
  are split. Connections that wait for a turn get it in order, and the work
  between two reads of the sockets is bounded.

  Scenario: The verdict on any frames is the same however they are split
    Then any frames give the same verdict in any pieces

  # Guards against a client that makes the others wait without end.
  Scenario: Connections share the work, whatever each of them has to do
    Then any connections get their turns in order and in bounded passes

  # Guards against objects in the HTTP/2 library and its server for each frame.
  Scenario Outline: A connection whose client sends <what> is refused
    Then <what> exceed the bound "<bound>" after at most <bytes> bytes

    Examples:
      | what                   | bound       | bytes |
      | opened streams         | streams     | 1000  |
      | a long list of fields  | head_bytes  | 8300  |
      | pings                  | frames      | 5000  |
      | frames without content | frames      | 20000 |
      | messages without bytes | frames      | 60000 |
      | a frame of 16 MB       | frame_bytes | 100   |
      | many settings          | settings    | 500   |

  # Guards against messages that pile up for a peer that gives no window.
  Scenario: A stream whose peer takes no message is closed in time
    Then a stream that sends a message a second is not closed
    And a stream that sends none is closed with 33 messages after 4 s

  # Guards against bounds that processes of a site meet.
  Scenario: A long session of ordinary frames exceeds no bound
    Then 100,000 messages with their acknowledgements exceed no bound
