/**
 * Writes an answer of a backend server.
 *
 * @param headers - lines that each end with CRLF
 * @internal
 */
export function createHttpResponse(body: string, headers = ''): string {
	return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${headers}\r\n${body}`
}
